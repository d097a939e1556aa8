#define BOOST_TEST_MODULE ExecuteCodec
#include "Wire/Wire.h"

#include <boost/test/unit_test.hpp>

using namespace cicadawind;

BOOST_AUTO_TEST_CASE(RequestRoundTrips) {
  ExecuteRequest Request;
  Request.Action = ExecuteAction::Commit;
  Request.Id = "r1";
  Request.Database = "bodega-1";
  Request.Target = "a";
  Request.Statement = "PUT x \"quoted\"";
  Request.Kind = StatementKind::Write;
  Request.IdempotencyKey = "k";
  Request.Transaction = "t";
  Request.Caller = "c";
  Request.TimeLeft = Millis(250);
  Request.Constraints.MinPosition = {.WrittenIn = 3, .Index = 9};
  Request.Constraints.AcceptedAge = Millis(7);
  Request.KnownTerm = 3;
  Result<ExecuteRequest> Decoded = decodeExecuteRequest(encode(Request));
  BOOST_REQUIRE(!errorOf(Decoded));
  BOOST_TEST(encode(valueOf(Decoded)) == encode(Request));
}

BOOST_AUTO_TEST_CASE(ResponsesRoundTrip) {
  ExecuteResponse Response;
  Response.Rows = R"(["a",null])";
  Response.Position = {.WrittenIn = 2, .Index = 5};
  Response.FromPrimary = true;
  Response.FreshnessAge = Millis(30);
  Response.LeaseLength = Millis(400);
  Response.Hint = {.CurrentTerm = 2, .Primary = "a"};
  BOOST_TEST(encode(decodeExecuteResponse(encode(Response))) ==
             encode(Response));
  Response.Failure = Error{.Code = ErrorCode::Overloaded,
                           .Outcome = Verdict::NotRun,
                           .Message = "full",
                           .RetryAfter = Millis(20)};
  BOOST_TEST(encode(decodeExecuteResponse(encode(Response))) ==
             encode(Response));
}

BOOST_AUTO_TEST_CASE(MalformedResponsesMayHaveRun) {
  for (const char *Malformed :
       {"", "{}", "[]", "{\"term\":1,\"primary\":\"a\"}"}) {
    ExecuteResponse Response = decodeExecuteResponse(Malformed);
    BOOST_REQUIRE(Response.Failure.has_value());
    BOOST_TEST((Response.Failure->Outcome == Verdict::MayHaveRun), Malformed);
  }
  BOOST_TEST(errorOf(decodeExecuteRequest("{}")) != nullptr);
}

BOOST_AUTO_TEST_CASE(UnknownVerdictsBecomeMayHaveRun) {
  ExecuteResponse Response = decodeExecuteResponse(
      R"({"term":1,"primary":"a","error":{"code":"x","verdict":"fine"}})");
  BOOST_TEST((Response.Failure->Outcome == Verdict::MayHaveRun));
}

// The rows of a target are serialized again, which uses stack for each level of
// their nesting.
BOOST_AUTO_TEST_CASE(deeplyNestedRowsAreRefused) {
  constexpr std::size_t Depth = 400000;
  std::string Text = encode(ExecuteResponse{.Rows = "0"});
  std::size_t Rows = Text.rfind("0}");
  Text.replace(Rows, 1, std::string(Depth, '[') + std::string(Depth, ']'));
  BOOST_TEST(decodeExecuteResponse(Text).Failure.has_value());
}
