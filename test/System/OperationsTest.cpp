#define BOOST_TEST_MODULE Operations
#include "System/ProcessFleet.h"
#include "TestFlags.h"

#include <csignal>
#include <thread>

using namespace cicadawind;
using namespace cicadawind::test;
using Json = nlohmann::json;

static ProcessFleet::Options fleetOptions(std::vector<int> Vms = {1, 1, 1}) {
  return {.Programs = textFlag("programs", "build"),
          .Source = textFlag("source", "."),
          .VmsPerDomain = std::move(Vms)};
}

static std::uint64_t noteAt(ProcessFleet &Fleet, std::size_t Vm, bool Router) {
  Json Status = Fleet.operate(Vm, "/v1/status", nullptr, Router);
  return Status.is_object() ? Status.value("note", std::uint64_t{0}) : 0;
}

static Json noteOf(const std::string &Entry, const std::string &Submission) {
  return {{"note", "author = \"test\"\n" + Entry}, {"submission", Submission}};
}

static void waitForNote(ProcessFleet &Fleet, std::uint64_t Number) {
  for (std::size_t Vm = 0; Vm < Fleet.vmCount(); ++Vm)
    for (bool Router : {false, true})
      ProcessFleet::waitFor("the note at every daemon", [&] {
        return noteAt(Fleet, Vm, Router) >= Number;
      });
}

BOOST_AUTO_TEST_CASE(NotesReachEveryDaemonAndConflictsAreReported) {
  ProcessFleet Fleet(fleetOptions({2, 1, 1}));
  Fleet.start();
  // Two operators submit notes with the same subject at the same time.
  Json Responses[2];
  std::thread Other([&] {
    Responses[0] = Fleet.operate(
        0, "/v1/notes",
        noteOf("[[add.database]]\nname = \"new\"\n", "operator-a"));
  });
  Responses[1] =
      Fleet.operate(2, "/v1/notes",
                    noteOf("[[add.database]]\nname = \"new\"\n", "operator-b"));
  Other.join();
  int Accepted = Responses[0].contains("number") ? 0 : 1;
  BOOST_TEST(Responses[Accepted].contains("number"));
  const Json &Refused = Responses[1 - Accepted];
  BOOST_REQUIRE(Refused.contains("error"));
  BOOST_TEST(Refused["verdict"] == "not_run");
  waitForNote(Fleet, 2);
  // A repeated submission finds the note of the first attempt.
  Json Again =
      Fleet.operate(1, "/v1/notes",
                    noteOf("[[add.database]]\nname = \"new\"\n",
                           Accepted == 0 ? "operator-a" : "operator-b"));
  BOOST_TEST(Again["number"] == 2);
}

// A note may be added twice, or reported as failed, if the store performs the
// writes and their responses are lost.
BOOST_AUTO_TEST_CASE(SubmissionSurvivesLostStoreResponses) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  Fleet.platform("/v1/faults", {{"lose_answers", 2}});
  Json Response = Fleet.operate(
      0, "/v1/notes", noteOf("[[withdraw.vm]]\nname = \"vm-x\"\n", "once"));
  BOOST_TEST(Response["number"] == 2);
  waitForNote(Fleet, 2);
  BOOST_TEST(noteAt(Fleet, 0, false) == 2U);
  // Had the note been added twice, the next one would be number 4.
  Json Next = Fleet.operate(
      1, "/v1/notes", noteOf("[[withdraw.vm]]\nname = \"vm-y\"\n", "next"));
  BOOST_TEST(Next["number"] == 3);
}

// A VM that starts while the store is unavailable cannot read the release notes
// from there.
BOOST_AUTO_TEST_CASE(RestartedVmGetsTheNoteFromAPeerDuringStoreOutage) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  Fleet.platform("/v1/faults", {{"outage", true}});
  Fleet.signal(ProcessFleet::routerOf(2), SIGKILL);
  Fleet.signal(ProcessFleet::poolerOf(2), SIGKILL);
  Fleet.waitForEnd(ProcessFleet::routerOf(2));
  Fleet.waitForEnd(ProcessFleet::poolerOf(2));
  Fleet.startVm(2);
  ProcessFleet::waitFor("the new VM to be ready", [&] {
    return Fleet.status(2, "/readyz", true) == 200;
  });
  ProcessFleet::waitFor("a write through it", [&] {
    return Fleet.write(2, "", "PUT k v")["verdict"] == "ran";
  });
  Json Refused = Fleet.operate(
      0, "/v1/notes", noteOf("[[withdraw.vm]]\nname = \"vm-x\"\n", "away"));
  BOOST_TEST(Refused["error"]["code"] == "store_unavailable");
  BOOST_TEST(Refused["verdict"] == "not_run");
}

// A planned stop must not interrupt a request in flight.
BOOST_AUTO_TEST_CASE(PlannedStopInterruptsNothing) {
  ProcessFleet Fleet(fleetOptions({2, 1, 1}));
  Fleet.start();
  Json LongRead;
  std::thread Caller([&] {
    LongRead =
        Fleet.read(0, "", "WORK 4000; GET warm", {{"deadline_ms", 20000}});
  });
  ProcessFleet::waitFor("the long read to run", [&] {
    Json Status = Fleet.operate(0, "/v1/status", nullptr, true);
    return Status["in_flight"] == 1;
  });
  Fleet.signal(ProcessFleet::routerOf(0), SIGTERM);
  Fleet.signal(ProcessFleet::poolerOf(0), SIGTERM);
  // The VM refuses new work, or its router has stopped; other VMs still serve.
  ProcessFleet::waitFor("refusal of new work", [&] {
    Json Response = Fleet.write(0, "", "PUT k v");
    return Response["verdict"] == "no_answer" ||
           (Response["verdict"] == "not_run" &&
            Response["error"]["code"] == "leaving");
  });
  BOOST_TEST(Fleet.write(1, "", "PUT k w")["verdict"] == "ran");
  Caller.join();
  BOOST_TEST(LongRead["verdict"] == "ran");
  BOOST_TEST(Fleet.waitForEnd(ProcessFleet::routerOf(0)) == 0);
  BOOST_TEST(Fleet.waitForEnd(ProcessFleet::poolerOf(0)) == 0);
}

BOOST_AUTO_TEST_CASE(VmListedAsLeavingDrains) {
  ProcessFleet Fleet(fleetOptions({2, 1, 1}));
  Fleet.start();
  Fleet.setVmState(1, "leaving");
  ProcessFleet::waitFor("the router not to be ready", [&] {
    return Fleet.status(1, "/readyz", true) != 200;
  });
  BOOST_TEST(Fleet.waitForEnd(ProcessFleet::routerOf(1)) == 0);
  BOOST_TEST(Fleet.waitForEnd(ProcessFleet::poolerOf(1)) == 0);
  BOOST_TEST(Fleet.write(0, "", "PUT k v")["verdict"] == "ran");
}

// A target that leaves while it is the primary must not keep its role until it
// stops, and must get no more reads.
BOOST_AUTO_TEST_CASE(LeavingPrimaryIsSwitchedOver) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  std::string Old = Fleet.primaryOf("db-1");
  Json Response =
      Fleet.operate(0, "/v1/notes",
                    noteOf("[[change.target]]\ndatabase = \"db-1\"\nname = \"" +
                               Old + "\"\nleaving = true\n",
                           "drain"));
  BOOST_TEST(Response["number"] == 2);
  ProcessFleet::waitFor("the switchover", [&] {
    Json Written = Fleet.write(0, "", "PUT k v");
    return Written["verdict"] == "ran" && Written["served_by"] != Old;
  });
  for (int I = 0; I < 20; ++I) {
    Json ReadBack = Fleet.read(I % 3, "", "GET k", {{"accepted_age_ms", 5000}});
    BOOST_TEST(ReadBack["served_by"] != Old);
  }
}

BOOST_AUTO_TEST_CASE(OperatorCallsNeedTheKey) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  BOOST_TEST(Fleet.status(0, "/v1/status", false) == 401);
  BOOST_TEST(Fleet.status(0, "/metrics", false) == 200);
  BOOST_TEST(Fleet.status(0, "/livez", true) == 200);
  BOOST_TEST(Fleet.status(0, "/nothing", true) == 404);
}

BOOST_AUTO_TEST_CASE(InvalidInputIsRefusedWithItsError) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  const std::pair<Json, const char *> Rows[] = {
      {{{"statement", "GET k"}}, "'database' is missing"},
      {{{"database", "db-1"}}, "'statement' is missing"},
      {{{"database", "db-1"}, {"statement", "GET k"}, {"kind", "x"}},
       "'kind' must be 'read' or 'write'"},
      {{{"database", "db-1"}, {"statement", "GET k"}, {"deadline_ms", 0}},
       "'deadline_ms' must be a whole number from 1 to 86400000"},
      {{{"database", "db-1"}, {"statement", "GET k"}, {"extra", 1}},
       "'extra' is not known"},
      {Json::array(), "the body must be a JSON object"},
  };
  for (const auto &[Body, Message] : Rows) {
    Json Response = Fleet.call(0, "/v1/statement", Body);
    BOOST_TEST(Response["verdict"] == "not_run");
    BOOST_TEST(Response["error"]["message"] == Message);
  }
  Json Large{{"database", "db-1"}, {"statement", std::string(400000, 'x')}};
  Json Response = Fleet.call(0, "/v1/statement", Large);
  BOOST_TEST(Response["error"]["code"] == "too_large");
  Json Unknown = Fleet.read(0, "", "GET k", {{"database", "nowhere"}});
  BOOST_TEST(Unknown["error"]["code"] == "unknown_database");
}
