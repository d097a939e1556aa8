#define BOOST_TEST_MODULE RequestExplanation
#include <boost/test/unit_test.hpp>

#include "Cli/RequestExplanation.h"

#include <string>

using namespace cicadawind;

namespace {

std::string line(const std::string &Time, const std::string &Vm,
                 const std::string &Rest) {
  return R"({"time":"2026-03-01T10:00:)" + Time + R"(Z","vm":")" + Vm +
         R"(",)" + Rest + "}";
}

std::string request(const std::string &Time, const std::string &Rest) {
  return line(Time, "vm-1",
              R"("message":"request not served","id":"q1","group":"g",)" +
                  Rest);
}

const std::string Waited =
    R"("code":"overloaded","tries":"","why":"no connection became free in time")";

const std::string LostAt =
    R"("code":"not_confirmed","why":"the connection was lost","target":)";
const std::string InDoubt =
    R"("component":"promotion","message":"primary in doubt","group":"g","target":)";

std::string causeOf(const std::vector<std::string> &Lines) {
  RequestExplanation Logs;
  for (const std::string &Each : Lines)
    Logs.addLine(Each);
  return Logs.explain("q1").Cause;
}

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(causesAreDerivedFromTheLogLines) {
  struct Case {
    std::vector<std::string> Lines;
    std::string Cause;
  };
  const std::vector<Case> Table{
      {{request("05.000", Waited)}, "more than the group's targets run"},
      {{request("05.000", Waited),
        line(
            "04.000", "vm-1",
            R"("component":"connections","message":"connection not opened","group":"g")")},
       "fewer targets"},
      {{request("05.000", Waited),
        line(
            "04.000", "vm-2",
            R"("component":"promotion","message":"promotion begins","group":"g")")},
       "being replaced"},
      {{request("05.000", Waited + R"(,"connections":"2 of 6")"),
        line("03.500", "vm-1", R"("message":"serving")")},
       "this VM had been up for 1500 ms and had 2 of 6 connections"},
      // All connections were open by then, or another VM had just started.
      {{request("05.000", Waited + R"(,"connections":"6 of 6")"),
        line("03.500", "vm-1", R"("message":"serving")")},
       "more than the group's targets run"},
      {{request("05.000", Waited + R"(,"connections":"2 of 6")"),
        line("03.500", "vm-2", R"("message":"serving")")},
       "more than the group's targets run"},
      {{request("05.000",
                R"("code":"overloaded","why":"no primary is known")")},
       "no primary was known"},
      {{request("05.000",
                R"("code":"overloaded","tries":"a:overloaded,a:overloaded")")},
       "too busy"},
      {{request(
           "05.000",
           R"("code":"rate_limited","account":"dairy","why":"retry in 9 ms")")},
       "account 'dairy' was over its rate limit: retry in 9 ms"},
      {{request("05.000",
                R"("code":"unauthorized","why":"the API key was removed")")},
       "no longer lists its API key"},
      {{request("05.000", R"("code":"unauthorized","why":"unknown API key")")},
       "does not list its API key"},
      {{request("05.000",
                R"("code":"overloaded","tries":"","account":"dairy","why":)"
                R"("no VM that issues permits of the account answered")")},
       "no VM issued permits of account 'dairy'"},
      {{request("05.000",
                R"("code":"overloaded","tries":"","why":"no connection became )"
                R"(free in time, and a is in slow start")")},
       "a target had just started or recovered"},
      {{request(
           "05.000",
           R"("code":"replica_behind","tries":"b:replica_behind","at_least":"1.7")")},
       "had not reached position 1.7"},
      {{request("05.000", LostAt + R"("a")"),
        line("04.900", "vm-1", InDoubt + R"("a")")},
       "lost or in doubt"},
      // A primary other than the request's target was in doubt earlier.
      {{request("05.000", LostAt + R"("b")"),
        line("04.900", "vm-1", InDoubt + R"("a")")},
       "connection was lost after its write or commit had left"},
      {{request("05.000",
                R"("code":"transaction_ended","why":"ended while idle")")},
       "ended while idle"},
      {{request("05.000", R"("code":"unknown_database")")},
       "lists no such database"},
      {{request("05.000", R"("code":"bad_request","why":"unknown statement")")},
       "unknown statement"},
      {{request("05.000", R"("code":"not_primary","tries":"a:not_primary")")},
       "no longer primary"},
      {{request("05.000", R"("code":"brand_new","why":"x")")}, "brand_new"},
      {{request("05.000", R"("outcome":"ok","tries":"")")}, "served at once"},
  };
  for (const Case &Each : Table)
    BOOST_TEST_CONTEXT(Each.Lines.front()) {
      BOOST_TEST(has(causeOf(Each.Lines), Each.Cause));
    }
}

BOOST_AUTO_TEST_CASE(onlyLinesOfTheRequestsTimeGroupAndVmAreEvidence) {
  RequestExplanation Logs;
  Logs.addLine(request("30.000", Waited));
  const std::string PrimaryConfirmed =
      R"("component":"dispatch","message":"primary proved","group":"g")";
  Logs.addLine(line("24.900", "vm-1", PrimaryConfirmed));
  Logs.addLine(line("25.100", "vm-1", PrimaryConfirmed));
  Logs.addLine(line("32.100", "vm-1", PrimaryConfirmed));
  // Another VM's view of the targets does not concern a request of this VM.
  Logs.addLine(line("30.000", "vm-2", PrimaryConfirmed));
  Logs.addLine(line(
      "30.000", "vm-1",
      R"("component":"dispatch","message":"primary proved","group":"other")"));
  RequestExplanation::Result Found = Logs.explain("q1");
  BOOST_REQUIRE(Found.Evidence.size() == 1);
  BOOST_TEST(Found.Evidence[0]["time"] == "2026-03-01T10:00:25.100Z");
}

BOOST_AUTO_TEST_CASE(evidenceIsLimitedAndInOrderOfTime) {
  RequestExplanation Logs({.MaxEvidence = 3});
  Logs.addLine(request("30.000", Waited));
  for (int I = 10; I < 50; ++I)
    Logs.addLine(
        line("29.9" + std::to_string(I), "vm-1",
             R"("component":"dispatch","message":"target known","group":"g")"));
  RequestExplanation::Result Found = Logs.explain("q1");
  BOOST_REQUIRE(Found.Evidence.size() == 3);
  BOOST_TEST(Found.Evidence[0]["time"] == "2026-03-01T10:00:29.947Z");
  BOOST_TEST(Found.Evidence[2]["time"] == "2026-03-01T10:00:29.949Z");
}

BOOST_AUTO_TEST_CASE(theLastAttemptOfARequestIsExplained) {
  BOOST_TEST(has(causeOf({request("05.000", Waited),
                          request("06.000", R"("outcome":"ok","tries":"")")}),
                 "served"));
}

BOOST_AUTO_TEST_CASE(suppressedLinesAreCountedForAnUnknownRequest) {
  RequestExplanation Logs;
  Logs.addLine(line("05.000", "vm-1",
                    R"("message":"request lines left out","count":"40")"));
  Logs.addLine(line(
      "05.500", "vm-1",
      R"("message":"request lines left out","outcome":"ok","count":"999")"));
  Logs.addLine(line("06.000", "vm-2",
                    R"("message":"request lines left out","count":"2")"));
  RequestExplanation::Result Found = Logs.explain("q1");
  BOOST_TEST(Found.Request.is_null());
  BOOST_TEST(Found.SuppressedLines == 42);
}

BOOST_AUTO_TEST_CASE(malformedLogLinesAreIgnored) {
  RequestExplanation Logs;
  for (const char *Each :
       {"", "{", "plain text", "[1]", R"({"time":5})", R"({"time":"noon"})",
        R"({"message":"request served"})", "\xff\xfe{"})
    Logs.addLine(Each);
  BOOST_TEST(Logs.lines() == 0);
  Logs.addLine("  12.5 vm-1 " + request("05.000", Waited));
  BOOST_TEST(Logs.lines() == 1);
}
