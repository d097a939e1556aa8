#define BOOST_TEST_MODULE Failover
#include "System/ProcessFleet.h"
#include "TestFlags.h"

#include <csignal>

using namespace cicadawind;
using namespace cicadawind::test;
using Json = nlohmann::json;

static ProcessFleet::Options fleetOptions() {
  return {.Programs = textFlag("programs", "build"),
          .Source = textFlag("source", ".")};
}

/// Writes until one is acknowledged; the session token after it.
static std::string writeUntilRan(ProcessFleet &Fleet, std::size_t Vm,
                                 std::string Session,
                                 const std::string &Statement) {
  ProcessFleet::waitFor("a write", [&] {
    Json Answer = Fleet.write(Vm, Session, Statement, {{"deadline_ms", 1000}});
    Session = Answer.value("session", Session);
    return Answer["verdict"] == "ran";
  });
  return Session;
}

BOOST_AUTO_TEST_CASE(KilledPrimaryIsReplacedAndLosesNothing) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  std::string Session;
  for (int I = 0; I < 20; ++I) {
    std::string Order = "PUT order-" + std::to_string(I) + " v";
    Session = writeUntilRan(Fleet, I % 3, Session, Order);
  }
  std::string Old = Fleet.primaryOf("db-1");
  Fleet.signal(Old, SIGKILL);
  Session = writeUntilRan(Fleet, 1, Session, "PUT after failover");
  BOOST_TEST(Fleet.primaryOf("db-1") != Old);
  Json Scan = Fleet.read(2, Session, "SCAN order-");
  BOOST_TEST(Scan["verdict"] == "ran");
  BOOST_TEST(Scan["rows"].size() == 20U);
}

BOOST_AUTO_TEST_CASE(FrozenPrimaryThawsWithoutTakingPart) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  std::string Old = Fleet.primaryOf("db-1");
  Fleet.signal(Old, SIGSTOP);
  // Whatever is said of this one must agree with what is found later.
  Json Held = Fleet.write(0, "", "PUT held v", {{"deadline_ms", 700}});
  BOOST_TEST(Held["verdict"] != "ran");
  std::string Session = writeUntilRan(Fleet, 1, "", "PUT next v");
  Fleet.signal(Old, SIGCONT);
  std::string New = Fleet.primaryOf("db-1");
  ProcessFleet::waitFor("the old primary to follow", [&] {
    Json Report = Fleet.instance(Old, "/v1/report", Json::object());
    return Report.is_object() && Report["following"] == New;
  });
  Json Found = Fleet.read(2, Session, "GET held; GET next");
  BOOST_TEST(Found["rows"][1] == "v");
  if (Held["verdict"] == "not_run")
    BOOST_TEST(Found["rows"][0].is_null());
}

BOOST_AUTO_TEST_CASE(CutOffPrimaryAcknowledgesNothing) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  std::string Old = Fleet.primaryOf("db-1");
  // Statements still reach it; the other instances and control do not.
  Fleet.instance(Old, "/v1/faults",
                 {{"replication_cut", true}, {"control_cut", true}});
  std::string Session = writeUntilRan(Fleet, 0, "", "PUT order v");
  std::string New = Fleet.primaryOf("db-1");
  BOOST_TEST(New != Old);
  Json Served = Fleet.write(0, Session, "PUT other v");
  BOOST_TEST(Served["served_by"] == New);
  Fleet.instance(Old, "/v1/faults",
                 {{"replication_cut", false}, {"control_cut", false}});
  ProcessFleet::waitFor("the old primary to follow", [&] {
    Json Report = Fleet.instance(Old, "/v1/report", Json::object());
    return Report.is_object() && Report["following"] == New &&
           Report["primary"] == false;
  });
}

BOOST_AUTO_TEST_CASE(StoreOutageKeepsWritesAndDelaysPromotion) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  Fleet.platform("/v1/faults", {{"outage", true}});
  std::string Session = writeUntilRan(Fleet, 0, "", "PUT during outage");
  std::string Old = Fleet.primaryOf("db-1");
  Fleet.signal(Old, SIGKILL);
  Json Refused = Fleet.write(1, Session, "PUT lost v", {{"deadline_ms", 1500}});
  BOOST_TEST(Refused["verdict"] != "ran");
  // Replicas serve what may be old, but only up to the accepted age.
  Json Old1 = Fleet.read(1, "", "GET during", {{"accepted_age_ms", 5000}});
  BOOST_TEST((Old1["verdict"] != "ran" || Old1["rows"][0] == "outage"));
  Fleet.platform("/v1/faults", {{"outage", false}});
  Session = writeUntilRan(Fleet, 1, Session, "PUT back v");
  BOOST_TEST(Fleet.read(0, Session, "GET during")["rows"][0] == "outage");
}

BOOST_AUTO_TEST_CASE(LostStoreAnswersAreSettled) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  Fleet.platform("/v1/faults", {{"lose_answers", 3}});
  Fleet.signal(Fleet.primaryOf("db-1"), SIGKILL);
  std::string Session = writeUntilRan(Fleet, 2, "", "PUT order v");
  BOOST_TEST(Fleet.read(0, Session, "GET order")["rows"][0] == "v");
}

BOOST_AUTO_TEST_CASE(FailureDomainAloneServesWhatItCan) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  std::string Session = writeUntilRan(Fleet, 0, "", "PUT lot open");
  Json Aged{{"accepted_age_ms", 5000}};
  ProcessFleet::waitFor("the replica of the domain to serve", [&] {
    Json Got = Fleet.read(2, Session, "GET lot", Aged);
    return Got["served_by"] == "db-1-c" && Got["rows"][0] == "open";
  });
  // Everything outside the third failure domain falls silent.
  std::vector<std::string> Others{"platform", "db-1-a", "db-1-b"};
  for (std::size_t Vm : {0, 1}) {
    Others.push_back(ProcessFleet::routerOf(Vm));
    Others.push_back(ProcessFleet::poolerOf(Vm));
  }
  for (const std::string &Name : Others)
    Fleet.signal(Name, SIGSTOP);
  Json Alone = Fleet.read(2, Session, "GET lot", Aged);
  BOOST_TEST((Alone["verdict"] != "ran" || Alone["rows"][0] == "open"));
  // A write reaches no primary, or one whose answer cannot be let out.
  Json Write = Fleet.write(2, Session, "PUT lot sold", {{"deadline_ms", 700}});
  BOOST_TEST(Write["verdict"] != "ran");
  // Once its data may be too old, the domain says so instead of serving it.
  ProcessFleet::waitFor("refusal of reads", [&] {
    Json Body = Aged;
    Body["deadline_ms"] = 500;
    return Fleet.read(2, Session, "GET lot", Body)["verdict"] != "ran";
  });
  for (const std::string &Name : Others)
    Fleet.signal(Name, SIGCONT);
  Session = writeUntilRan(Fleet, 2, Session, "PUT after v");
  Json Got = Fleet.read(0, Session, "GET lot; GET after");
  BOOST_TEST(Got["rows"][1] == "v");
  if (Write["verdict"] == "not_run")
    BOOST_TEST(Got["rows"][0] == "open");
}
