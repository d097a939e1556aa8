#define BOOST_TEST_MODULE LineProtocol
#include <boost/test/unit_test.hpp>

#include "LineProtocol.h"

#include <rapidcheck.h>

#include <vector>

using namespace cicadawind;

namespace {

const platform::LineProtocol Codec;

} // namespace

BOOST_AUTO_TEST_CASE(callerStatementsAreDecoded) {
  struct Case {
    std::string Line;
    StatementKind Kind;
    std::string Name;
    std::string Rest;
  };
  const std::vector<Case> Table{
      {"QUERY 7 BEGIN", StatementKind::Begin, "", ""},
      {"QUERY 7 BEGIN READ", StatementKind::BeginReadOnly, "", ""},
      {"QUERY 7 COMMIT", StatementKind::Commit, "", ""},
      {"QUERY 7 ROLLBACK", StatementKind::Rollback, "", ""},
      {"QUERY 7 READ 1a4", StatementKind::Read, "", ""},
      {"QUERY 7 WRITE 1a4 some data", StatementKind::Write, "", ""},
      {"QUERY 7 SET tz Atlantic/Reykjavik", StatementKind::SetValue, "tz",
       "Atlantic/Reykjavik"},
      {"QUERY 7 PREPARE s1 WRITE q2c", StatementKind::Prepare, "s1", "q2c"},
      {"QUERY 7 EXECUTE s1 1a4 xk", StatementKind::ExecutePrepared, "s1",
       "1a4 xk"},
      {"QUERY 7 CLOSE s1", StatementKind::ClosePrepared, "s1", ""},
  };
  for (const Case &Each : Table) {
    BOOST_TEST_CONTEXT(Each.Line) {
      CallerMessage Message = Codec.decodeCaller(Each.Line);
      const Statement *Parsed = std::get_if<Statement>(&Message);
      BOOST_REQUIRE(Parsed);
      BOOST_TEST((Parsed->Kind == Each.Kind));
      BOOST_TEST(Parsed->Id == "7");
      BOOST_TEST("QUERY 7 " + Parsed->Text == Each.Line);
      BOOST_TEST(Parsed->Name == Each.Name);
      BOOST_TEST(Parsed->Rest == Each.Rest);
    }
  }
}

BOOST_AUTO_TEST_CASE(malformedCallerMessagesAreRejected) {
  for (const char *Line : {"",
                           "READ 1a4",
                           "query 7 READ 1a4",
                           "QUERY",
                           "QUERY 7",
                           "QUERY 7 ",
                           "QUERY - READ 1a4",
                           "QUERY 7 READ",
                           "QUERY 7 WRITE 1a4",
                           "QUERY 7 SET",
                           "QUERY 7 PREPARE s1",
                           "QUERY 7 PREPARE s1 DROP q",
                           "QUERY 7 PREPARE s1 READ",
                           "QUERY 7 EXECUTE s1",
                           "QUERY 7 CLOSE",
                           "QUERY 7 CLOSE a b",
                           "QUERY 7 AFTER 1.2 READ x",
                           "QUERY 7 STATUS",
                           "QUERY 7 RESET",
                           "QUERY 7 BEGIN WRITE",
                           "STARTUP"})
    BOOST_TEST_CONTEXT("'" << Line << "'") {
      BOOST_TEST(
          std::holds_alternative<MalformedMessage>(Codec.decodeCaller(Line)));
    }
}

BOOST_AUTO_TEST_CASE(targetMessagesAreDecoded) {
  TargetMessage Row = Codec.decodeTarget("ROW a b  c");
  BOOST_TEST(std::get<RowMessage>(Row).Text == "a b  c");
  TargetMessage Done = Codec.decodeTarget("COMPLETE 7.1f3.c");
  BOOST_TEST(std::get<CompletedMessage>(Done).Receipt == "7.1f3.c");
  TargetMessage Refused = Codec.decodeTarget("ERROR READONLY i-7");
  BOOST_TEST((std::get<ErrorMessage>(Refused).Code == ErrorCode::NotPrimary));
  TargetMessage Ready = Codec.decodeTarget("READY T 3.1209");
  BOOST_TEST(
      (std::get<ReadyMessage>(Ready).Phase == SessionPhase::InTransaction));
  BOOST_TEST(std::get<ReadyMessage>(Ready).Position->WrittenIn == 3);
  BOOST_TEST(std::get<ReadyMessage>(Ready).Position->Index == 1209);
  TargetMessage NoLog = Codec.decodeTarget("READY I -");
  BOOST_TEST(!std::get<ReadyMessage>(NoLog).Position);
}

BOOST_AUTO_TEST_CASE(malformedTargetMessagesAreInvalid) {
  for (const char *Line : {"", "READY", "READY X 3.1", "ROWS", "OK", "\x01"})
    BOOST_TEST_CONTEXT("'" << Line << "'") {
      BOOST_TEST(
          std::holds_alternative<InvalidMessage>(Codec.decodeTarget(Line)));
    }
}

BOOST_AUTO_TEST_CASE(controlRequestsHaveNoCallerId) {
  std::string Out;
  Codec.encodeOpen(Out, "huvo11a", "", "i-7f");
  Codec.encodeBegin(Out, false, std::nullopt);
  Codec.encodeBegin(Out, true, LogPosition{.WrittenIn = 3, .Index = 12});
  Codec.encodeRollback(Out);
  Codec.encodeSetValue(Out, "tz", "a b");
  Codec.encodePrepare(Out, "c1", true, "q2c");
  Codec.encodeReset(Out);
  Codec.encodeStatusRequest(Out);
  Codec.encodeDemote(Out, 4);
  BOOST_TEST(Out == "STARTUP huvo11a cicadawind i-7f\r\n"
                    "QUERY - BEGIN\r\n"
                    "QUERY - AFTER 3.12 BEGIN READ\r\n"
                    "QUERY - ROLLBACK\r\n"
                    "QUERY - SET tz a b\r\n"
                    "QUERY - PREPARE c1 WRITE q2c\r\n"
                    "QUERY - RESET\r\n"
                    "QUERY - STATUS\r\n"
                    "QUERY - DEMOTE 4\r\n");
}

BOOST_AUTO_TEST_CASE(statusRowsAreDecodedOrRejected) {
  auto Status = Codec.decodeStatus("replica 3 3.1209 0 12 2 17");
  BOOST_REQUIRE(Status.has_value());
  BOOST_TEST(!Status->IsPrimary);
  BOOST_TEST(Status->CurrentTerm == 3);
  BOOST_TEST(Status->Received.Index == 1209);
  BOOST_TEST(Status->Lag.count() == 12);
  BOOST_TEST(Status->BusySlots == 2);
  BOOST_TEST(Status->Connections == 17);
  for (const char *Row : {"", "leader 3 3.1 0 0 0 0", "primary x 3.1 0 0 0 0",
                          "primary 3 31 0 0 0 0"})
    BOOST_TEST_CONTEXT("'" << Row << "'") {
      BOOST_TEST(!Codec.decodeStatus(Row));
    }
}

BOOST_AUTO_TEST_CASE(errorCodesSurviveARoundTrip) {
  for (ErrorCode Code :
       {ErrorCode::Overloaded, ErrorCode::ReplicaBehind, ErrorCode::NotPrimary,
        ErrorCode::StatementFailed, ErrorCode::NotFound,
        ErrorCode::DeadlineExceeded, ErrorCode::UnknownDatabase,
        ErrorCode::TransactionEnded, ErrorCode::NotConfirmed}) {
    std::string Out;
    Codec.encodeError(Out, Code, "why");
    Out.resize(Out.size() - 2);
    TargetMessage Decoded = Codec.decodeTarget(Out);
    BOOST_TEST((std::get<ErrorMessage>(Decoded).Code == Code));
  }
}

// An error without a code in the protocol must not tell the caller that the
// request did not run.
BOOST_AUTO_TEST_CASE(errorsWithoutAProtocolCodeAreSentAsInDoubt) {
  std::string Out;
  Codec.encodeError(Out, ErrorCode::Internal, "why");
  BOOST_TEST(Out == "ERROR INDOUBT why\r\n");
}

BOOST_AUTO_TEST_CASE(decodersHandleArbitraryBytes) {
  BOOST_TEST(rc::check([](const std::string &Line) {
    Codec.decodeCaller(Line);
    Codec.decodeTarget(Line);
    Codec.decodeStatus(Line);
  }));
}
