#define BOOST_TEST_MODULE PoolerCaller
// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Fakes/FakeHttpServer.h"
#include "Http/HttpClient.h"
#include "LoopRunner.h"
#include "Membership/MemberTable.h"
#include "Router/PoolerCaller.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace cicadawind;
using namespace cicadawind::test;
using namespace std::chrono_literals;

/// Calls the only owner of a target, which responds with \p Response as \p
/// Action says. Returns whether the owner is suspected afterwards.
static bool isSuspectedAfter(const ExecuteResponse &Response,
                             fakes::ResponseAction Action) {
  boost::asio::io_context Loop(1);
  fakes::FakeHttpServer Server(
      Loop, "127.0.0.1", 0,
      [&](HttpRequest, std::uint64_t, fakes::ResponseAction &Chosen)
          -> boost::asio::awaitable<HttpResponse> {
        Chosen = Action;
        HttpResponse Out;
        Out.Body = encode(Response);
        co_return Out;
      },
      nullptr);
  MemberTable Members({.OwnVm = "vm-1", .FailureDomain = "d1", .Region = "r"});
  Members.merge({.Vm = "vm-2",
                 .FailureDomain = "d1",
                 .Region = "r",
                 .PoolerPeer = "127.0.0.1:" + std::to_string(Server.port())});
  HttpClient Http(Loop, HttpClient::Options{});
  PoolerCaller Caller(Http, Members, "key");
  TargetConfig Target{.Name = "a", .FailureDomain = "d1", .Region = "r"};
  PoolerCaller::CallResult Result =
      runOn(Loop, Caller.callOwner(Target, ExecuteRequest(), 1s, ""));
  BOOST_REQUIRE(Result.Response.Failure);
  BOOST_TEST((Result.Response.Failure->Code == ErrorCode::ConnectionLost));
  return Members.isSuspected("vm-2", BootClock::now());
}

BOOST_AUTO_TEST_CASE(aPoolerThatDoesNotRespondIsSuspected) {
  BOOST_TEST(isSuspectedAfter({}, fakes::ResponseAction::Drop));
}

// The pooler is well if it reports that its target's connection was lost.
BOOST_AUTO_TEST_CASE(aPoolerThatLostItsTargetIsNotSuspected) {
  ExecuteResponse Response;
  Response.Failure = Error{.Code = ErrorCode::ConnectionLost,
                           .Outcome = Verdict::MayHaveRun,
                           .Message = "the connection to the target was lost"};
  BOOST_TEST(!isSuspectedAfter(Response, fakes::ResponseAction::Send));
}
