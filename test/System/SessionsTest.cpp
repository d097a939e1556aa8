#define BOOST_TEST_MODULE Sessions
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

BOOST_AUTO_TEST_CASE(SessionsRoamAndReadTheirWrites) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  std::string Primary = Fleet.primaryOf("db-1");
  for (const char *Letter : {"a", "b", "c"})
    if (std::string("db-1-") + Letter != Primary)
      Fleet.instance(std::string("db-1-") + Letter, "/v1/faults",
                     {{"apply_lag_ms", 700}});
  std::string Session;
  for (int I = 0; I < 30; ++I) {
    Json Wrote = Fleet.write(I % 3, Session, "PUT k " + std::to_string(I));
    BOOST_REQUIRE(Wrote["verdict"] == "ran");
    Session = Wrote["session"];
    Json Got =
        Fleet.read((I + 1) % 3, Session, "GET k", {{"accepted_age_ms", 5000}});
    BOOST_REQUIRE(Got["verdict"] == "ran");
    BOOST_TEST(Got["rows"][0] == std::to_string(I));
  }
  // Without a session, the lagging replicas serve what is accepted.
  ProcessFleet::waitFor("a replica's read", [&] {
    return Fleet.read(1, "", "GET k", {{"accepted_age_ms", 3000}})["role"] ==
           "replica";
  });
}

BOOST_AUTO_TEST_CASE(ChangedTokensAreRefused) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  std::string Session = Fleet.write(0, "", "PUT k v")["session"];
  Session[Session.size() / 2] ^= 1;
  Json Answer = Fleet.read(1, Session, "GET k");
  BOOST_TEST(Answer["verdict"] == "not_run");
  BOOST_TEST(Answer["error"]["code"] == "token_invalid");
}

struct LostRow {
  const char *Name;
  const char *Fault;
  bool Keyed;
};

BOOST_AUTO_TEST_CASE(LostAnswersGetTrueVerdicts) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  std::string Primary = Fleet.primaryOf("db-1");
  const LostRow Rows[] = {
      {"cut, once", "cut_answers", false},
      {"dropped, once", "drop_answers", false},
      {"foreign, once", "foreign_answers", false},
      {"cut, with key", "cut_answers", true},
      {"dropped, with key", "drop_answers", true},
      {"foreign, with key", "foreign_answers", true},
  };
  int Number = 0;
  for (const LostRow &Row : Rows) {
    std::string Key = "n" + std::to_string(++Number);
    Fleet.instance(Primary, "/v1/faults", {{Row.Fault, 1}});
    Json More = Json::object();
    if (Row.Keyed)
      More["idempotency_key"] = Key;
    Json Answer = Fleet.write(0, "", "ADD " + Key + " 1", More);
    BOOST_TEST(Answer["verdict"] == (Row.Keyed ? "ran" : "may_have_run"),
               Row.Name);
    // The session of an unknown write reads from the primary.
    Json Got = Fleet.read(1, Answer["session"], "GET " + Key,
                          {{"accepted_age_ms", 5000}});
    if (!Row.Keyed)
      BOOST_TEST(Got["role"] == "primary", Row.Name);
    BOOST_TEST(Got["rows"][0] == "1", Row.Name);
  }
}

BOOST_AUTO_TEST_CASE(IdempotencyKeyReturnsTheFirstAnswer) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  Json More{{"idempotency_key", "order-9"}};
  Json First = Fleet.write(0, "", "ADD stock 5", More);
  Fleet.signal(Fleet.primaryOf("db-1"), SIGKILL);
  Json Second;
  ProcessFleet::waitFor("the repeat", [&] {
    Second = Fleet.write(1, "", "ADD stock 5", More);
    return Second["verdict"] == "ran";
  });
  BOOST_TEST(First["rows"] == Second["rows"]);
  Json Got = Fleet.read(2, Second["session"], "GET stock");
  BOOST_TEST(Got["rows"][0] == "5");
}

BOOST_AUTO_TEST_CASE(SilentConnectionsAreReplaced) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  std::string Primary = Fleet.primaryOf("db-1");
  for (int I = 0; I < 5; ++I)
    Fleet.write(0, "", "PUT k " + std::to_string(I));
  Fleet.instance(Primary, "/v1/faults", {{"silence_connections", true}});
  // The request on a silent connection must not be said not to have run, and
  // later ones get new connections.
  Json Held = Fleet.write(0, "", "PUT k held", {{"deadline_ms", 4000}});
  BOOST_TEST((Held["verdict"] == "may_have_run" || Held["verdict"] == "ran"));
  Json Next = Fleet.write(1, "", "PUT k next", {{"deadline_ms", 4000}});
  BOOST_TEST(Next["verdict"] == "ran");
  BOOST_TEST(Fleet.primaryOf("db-1") == Primary);
}

BOOST_AUTO_TEST_CASE(TransactionsKeepToThemselves) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  auto Begin = [&](std::size_t Vm) {
    return Fleet.call(Vm, "/v1/begin", {{"database", "db-1"}});
  };
  auto In = [&](std::size_t Vm, const Json &Transaction,
                const std::string &Text) {
    return Fleet.call(Vm, "/v1/statement",
                      {{"transaction", Transaction}, {"statement", Text}});
  };
  Json A = Begin(0)["transaction"];
  Json B = Begin(1)["transaction"];
  BOOST_TEST(In(0, A, "LET who a; PUT x from-a")["verdict"] == "ran");
  BOOST_TEST(In(1, B, "LET who b; PUT y from-b")["verdict"] == "ran");
  // Another router continues the transaction.
  Json Seen = In(2, A, "SHOW who; GET x; GET y");
  BOOST_TEST((Seen["rows"] == Json::array({"a", "from-a", nullptr})));
  BOOST_TEST(Fleet.call(0, "/v1/rollback", {{"transaction", B}})["verdict"] ==
             "ran");
  Json Done = Fleet.call(1, "/v1/commit", {{"transaction", A}});
  BOOST_TEST(Done["verdict"] == "ran");
  Json Got = Fleet.read(2, Done["session"], "GET x; GET y; SHOW who");
  BOOST_TEST((Got["rows"] == Json::array({"from-a", nullptr, ""})));
  Json Late = In(0, A, "GET x");
  BOOST_TEST(Late["error"]["code"] == "transaction_ended");
  BOOST_TEST(Late["verdict"] == "not_run");
}

BOOST_AUTO_TEST_CASE(FailedStatementsLeaveNothingBehind) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  // The first step sets state of the connection, the second one fails.
  Json Failed = Fleet.write(0, "", "LET who intruder; NEW warm again");
  BOOST_TEST(Failed["error"]["code"] == "statement_failed");
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(Fleet.read(I % 3, "", "SHOW who")["rows"][0] == "");
}

BOOST_AUTO_TEST_CASE(StatementsDeclaredAsReadsCannotWrite) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  // Reads are repeated after lost answers, so a write must not pass as one.
  Json Refused = Fleet.read(0, "", "ADD paid 1");
  BOOST_TEST(Refused["verdict"] == "not_run");
  BOOST_TEST(Refused["error"]["code"] == "statement_failed");
  BOOST_TEST(Fleet.read(1, "", "GET paid")["rows"][0].is_null());
}

BOOST_AUTO_TEST_CASE(TransactionDiesWithItsPooler) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  Json Begun = Fleet.call(0, "/v1/begin", {{"database", "db-1"}});
  Json Body{{"transaction", Begun["transaction"]},
            {"statement", "PUT half done"}};
  BOOST_TEST(Fleet.call(0, "/v1/statement", Body)["verdict"] == "ran");
  // One VM a failure domain: the pooler of the primary's domain holds it.
  std::size_t Holder = Fleet.primaryOf("db-1").back() - 'a';
  Fleet.signal(ProcessFleet::poolerOf(Holder), SIGKILL);
  std::size_t Other = (Holder + 1) % 3;
  Json Commit =
      Fleet.call(Other, "/v1/commit", {{"transaction", Begun["transaction"]}});
  // It could be the repeat of a commit that took effect.
  BOOST_TEST(Commit["verdict"] == "may_have_run");
  Json Got;
  ProcessFleet::waitFor("a read", [&] {
    Got = Fleet.read(Other, "", "GET half");
    return Got["verdict"] == "ran";
  });
  BOOST_TEST(Got["rows"][0].is_null());
}

BOOST_AUTO_TEST_CASE(RepeatedCommitTellsTheFirstOutcome) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  Json Begun = Fleet.call(0, "/v1/begin", {{"database", "db-1"}});
  Json Transaction = Begun["transaction"];
  Fleet.call(1, "/v1/statement",
             {{"transaction", Transaction}, {"statement", "ADD paid 1"}});
  Json First = Fleet.call(0, "/v1/commit", {{"transaction", Transaction}});
  BOOST_TEST(First["verdict"] == "ran");
  // The caller did not get the answer and asks again through another router.
  Json Again = Fleet.call(2, "/v1/commit", {{"transaction", Transaction}});
  BOOST_TEST(Again["verdict"] == "ran");
  Json Got = Fleet.read(1, Again["session"], "GET paid");
  BOOST_TEST(Got["rows"][0] == "1");
  // What was rolled back is known not to have been committed.
  Json Other = Fleet.call(0, "/v1/begin", {{"database", "db-1"}});
  Fleet.call(0, "/v1/rollback", {{"transaction", Other["transaction"]}});
  Json Late =
      Fleet.call(1, "/v1/commit", {{"transaction", Other["transaction"]}});
  BOOST_TEST(Late["verdict"] == "not_run");
}

BOOST_AUTO_TEST_CASE(RefusedSessionGetsNoNewToken) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  Json Refused = Fleet.read(0, "cws1.forged.token", "GET k");
  BOOST_TEST(Refused["error"]["code"] == "token_invalid");
  BOOST_TEST(!Refused.contains("session"));
  Json Faulty =
      Fleet.call(0, "/v1/statement", {{"request_id", "r9"}, {"kind", "maybe"}});
  BOOST_TEST(Faulty["request_id"] == "r9");
  BOOST_TEST(!Faulty.contains("session"));
}

BOOST_AUTO_TEST_CASE(LargeAnswersAreCompleteOrErrors) {
  ProcessFleet Fleet(fleetOptions());
  Fleet.start();
  Json Whole = Fleet.read(0, "", "ROWS 20000");
  BOOST_TEST(Whole["rows"].size() == 20000U);
  Fleet.instance(Fleet.primaryOf("db-1"), "/v1/faults", {{"cut_answers", 1}});
  Json Again = Fleet.read(0, "", "ROWS 20000");
  BOOST_TEST((Again["verdict"] != "ran" || Again["rows"].size() == 20000U));
}
