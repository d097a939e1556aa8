#define BOOST_TEST_MODULE PeerMessage
#include <boost/test/unit_test.hpp>

#include "Exchange/PeerMessage.h"
#include "Proxy/ProxyState.h"

#include <rapidcheck.h>

using namespace cicadawind;

/// Maximum size in bytes of a datagram that usual links carry unfragmented.
constexpr std::size_t MaxDatagramBytes = 1400;

BOOST_AUTO_TEST_CASE(helloSurvivesEncodingAndDecoding) {
  PeerHello Hello;
  Hello.Self = {.Vm = "vm-1",
                .FailureDomain = "oaxaca",
                .Region = "centro-sur",
                .RouterPeer = "10.1.0.8:7440",
                .Leaving = true,
                .Incarnation = 99};
  Hello.ConfigVersion = 12;
  Hello.TargetsRevision = 345;
  // The largest numbers, see FleetGossip::Options.
  Hello.Others.assign(
      4, {.Entry = Hello.Self, .ContactAge = std::chrono::minutes(2)});
  Hello.Ages.assign(64, {.VmHash = 0xfedcba98, .Age = Millis(1500)});
  std::string Bytes = encodePeerMessage(Hello);
  BOOST_TEST(Bytes.size() < MaxDatagramBytes);
  Result<PeerMessage> Decoded = decodePeerMessage(Bytes);
  const PeerHello &Read = std::get<PeerHello>(valueOf(Decoded));
  BOOST_TEST((Read.Self == Hello.Self));
  BOOST_TEST(Read.ConfigVersion == 12);
  BOOST_TEST(Read.TargetsRevision == 345);
  BOOST_REQUIRE(Read.Others.size() == 4);
  BOOST_TEST((Read.Others[3].Entry == Hello.Self));
  BOOST_TEST((Read.Others[3].ContactAge == std::chrono::minutes(2)));
  BOOST_TEST((Read.Ages == Hello.Ages));
}

// An age must not become smaller, or VMs would keep each other's belief in a VM
// that is gone.
BOOST_AUTO_TEST_CASE(aHelloMayAskForAReply) {
  for (bool Wanted : {true, false}) {
    PeerHello Hello;
    Hello.WantsReply = Wanted;
    Result<PeerMessage> Read = decodePeerMessage(encodePeerMessage(Hello));
    BOOST_REQUIRE(!errorOf(Read));
    BOOST_TEST(std::get<PeerHello>(valueOf(Read)).WantsReply == Wanted);
  }
}

BOOST_AUTO_TEST_CASE(contactAgesAreRoundedUpAndTheLargestAreLeftOut) {
  PeerHello Hello;
  Hello.Ages = {{.VmHash = 1, .Age = Millis(0)},
                {.VmHash = 2, .Age = Millis(1)},
                {.VmHash = 3, .Age = Millis(251)},
                {.VmHash = 4, .Age = std::chrono::minutes(5)}};
  Result<PeerMessage> Decoded = decodePeerMessage(encodePeerMessage(Hello));
  const auto &Read = std::get<PeerHello>(valueOf(Decoded));
  std::vector<ContactAge> Expected = {{.VmHash = 1, .Age = Millis(0)},
                                      {.VmHash = 2, .Age = Millis(250)},
                                      {.VmHash = 3, .Age = Millis(500)}};
  BOOST_TEST((Read.Ages == Expected));
}

BOOST_AUTO_TEST_CASE(queryReportAndNoticeSurviveEncodingAndDecoding) {
  PrimaryQuery Query{
      .From = "vm-1", .Number = 7, .Group = "g", .Instance = "a"};
  Result<PeerMessage> DecodedQuery =
      decodePeerMessage(encodePeerMessage(Query));
  BOOST_TEST(std::get<PrimaryQuery>(valueOf(DecodedQuery)).Instance == "a");
  PrimaryReport Report{.From = "vm-2",
                       .Number = 7,
                       .Group = "g",
                       .ContactAge = Millis(40),
                       .Primary = "a",
                       .LogEnd = {.WrittenIn = 3, .Index = 9},
                       .ProofAge = Millis(21)};
  Result<PeerMessage> DecodedReport =
      decodePeerMessage(encodePeerMessage(Report));
  const PrimaryReport &ReadReport =
      std::get<PrimaryReport>(valueOf(DecodedReport));
  BOOST_TEST(ReadReport.ContactAge->count() == 40);
  BOOST_TEST(ReadReport.LogEnd.Index == 9);
  BOOST_TEST(ReadReport.ProofAge.count() == 21);
  PromotionNotice Notice{.From = "vm-2", .Group = "g", .Token = 4};
  Result<PeerMessage> DecodedNotice =
      decodePeerMessage(encodePeerMessage(Notice));
  BOOST_TEST(std::get<PromotionNotice>(valueOf(DecodedNotice)).Token == 4);
}

BOOST_AUTO_TEST_CASE(evidenceThatIsPassedOnSurvivesEncodingAndDecoding) {
  PrimaryQuery Query{.From = "vm-1",
                     .Number = 7,
                     .Group = "g",
                     .Instance = "a",
                     .Scope = EvidenceScope::OtherRegions};
  auto ReadQuery = decodePeerMessage(encodePeerMessage(Query));
  BOOST_TEST((std::get<PrimaryQuery>(valueOf(ReadQuery)).Scope ==
              EvidenceScope::OtherRegions));
  PrimaryReport Report{.From = "vm-2",
                       .Number = 7,
                       .Group = "g",
                       .PassesOn = true,
                       .PassedOn = {{.Vm = "vm-3",
                                     .Age = Millis(17),
                                     .ContactAge = Millis(40),
                                     .ReachesDirectly = true},
                                    {.Vm = "vm-4", .Age = Millis(3)}},
                       .Held = Millis(9)};
  auto Decoded = decodePeerMessage(encodePeerMessage(Report));
  const auto &Read = std::get<PrimaryReport>(valueOf(Decoded));
  BOOST_TEST(Read.PassesOn);
  BOOST_TEST(Read.Held.count() == 9);
  BOOST_REQUIRE(Read.PassedOn.size() == 2U);
  BOOST_TEST(Read.PassedOn[0].Vm == "vm-3");
  BOOST_TEST(Read.PassedOn[0].Age.count() == 17);
  BOOST_TEST(Read.PassedOn[0].ContactAge->count() == 40);
  BOOST_TEST(Read.PassedOn[0].ReachesDirectly);
  BOOST_TEST(!Read.PassedOn[1].ContactAge.has_value());
  BOOST_TEST(!Read.PassedOn[1].ReachesDirectly);
}

BOOST_AUTO_TEST_CASE(evidenceOfANegativeAgeIsRejected) {
  PrimaryReport Report{.From = "vm-2",
                       .Number = 7,
                       .Group = "g",
                       .PassesOn = true,
                       .PassedOn = {{.Vm = "vm-3", .Age = Millis(-1)}}};
  auto Decoded = decodePeerMessage(encodePeerMessage(Report));
  BOOST_TEST((errorOf(Decoded) != nullptr));
}

BOOST_AUTO_TEST_CASE(stateSurvivesEncodingAndDecoding) {
  ProxyState State;
  State.Config.Version = 5;
  State.Config.Routes["db"] = {.Database = "db",
                               .Group = "g",
                               .Reads = Consistency::BoundedStaleness,
                               .MaxStaleness = Millis(1500),
                               .Priority = 2};
  State.Config.Groups["g"].MaxConnections = 16;
  State.Config.Groups["h"] = {.MaxConnections = 4, .SynchronousReplicas = 1};
  State.Config.Callers.IdleTransaction = Millis(77);
  State.Targets = {{.Instance = "a",
                    .Group = "g",
                    .Address = "10.0.0.1:1",
                    .Leaving = true,
                    .Incarnation = 8}};
  State.TargetsRevision = 44;
  Result<ProxyState> Decoded = decodeState(encodeState(State));
  BOOST_REQUIRE(!errorOf(Decoded));
  const ProxyState &Read = valueOf(Decoded);
  BOOST_TEST((Read.Config.Routes == State.Config.Routes));
  BOOST_TEST((Read.Config.Groups == State.Config.Groups));
  BOOST_TEST((Read.Config.Callers == State.Config.Callers));
  BOOST_TEST((Read.Targets == State.Targets));
  BOOST_TEST(Read.TargetsRevision == 44);
  BOOST_TEST(Read.Config.Version == 5);
}

// The peer's clock has another origin, so what passes between VMs is the age.
BOOST_AUTO_TEST_CASE(theAgeOfADepartureSurvivesEncodingAndDecoding) {
  ProxyState State;
  TimePoint Since = BootClock::now() - std::chrono::milliseconds(4000);
  State.Targets = {
      {.Instance = "a", .Group = "g", .Leaving = true, .LeavingSince = Since},
      {.Instance = "b", .Group = "g"}};
  Result<ProxyState> Decoded = decodeState(encodeState(State));
  BOOST_REQUIRE(!errorOf(Decoded));
  const std::vector<TargetEntry> &Read = valueOf(Decoded).Targets;
  BOOST_REQUIRE(Read.at(0).LeavingSince.has_value());
  Duration Later = *Read.at(0).LeavingSince - Since;
  BOOST_TEST((Later >= Duration::zero() && Later < std::chrono::seconds(1)));
  BOOST_TEST(!Read.at(1).LeavingSince.has_value());
}

// review/10: ages of an answer that was encoded for an earlier request.
BOOST_AUTO_TEST_CASE(agesAreCountedBackFromTheEncoding) {
  TimePoint Now = BootClock::now();
  ProxyState State;
  State.Targets = {{.Instance = "a",
                    .Group = "g",
                    .Leaving = true,
                    .LeavingSince = Now - std::chrono::seconds(4)}};
  Result<ProxyState> Decoded =
      decodeState(encodeState(State), Now - std::chrono::seconds(2));
  BOOST_REQUIRE(!errorOf(Decoded));
  BOOST_TEST((*valueOf(Decoded).Targets.at(0).LeavingSince <=
              Now - std::chrono::seconds(6)));
}

BOOST_AUTO_TEST_CASE(departuresSurviveEncodingAndDecoding) {
  TimePoint Now = BootClock::now();
  std::vector<TargetDeparture> Sent = {
      {.Instance = "a", .Incarnation = 7, .Since = Now - Millis(2500)},
      {.Instance = "b", .Since = Now}};
  TimePoint Later = Now + std::chrono::hours(9);
  auto Read = decodeDepartures(encodeDepartures(Sent, Now), Later);
  BOOST_REQUIRE(!errorOf(Read));
  for (TargetDeparture &Each : Sent)
    Each.Since += std::chrono::hours(9);
  BOOST_TEST((valueOf(Read) == Sent));
  Sent[0].Since = Now + Millis(10);
  BOOST_TEST(errorOf(decodeDepartures(encodeDepartures(Sent, Now), Now)));
}

BOOST_AUTO_TEST_CASE(arbitraryBytesDoNotCrashTheDecoders) {
  BOOST_TEST(rc::check([](const std::string &Bytes) {
    decodePeerMessage(Bytes);
    decodeState(Bytes);
    decodeDepartures(Bytes, BootClock::now());
  }));
}

// The ports for peers are open to every program that reaches this VM. A
// datagram of nested lists must not exhaust the stack of the process.
BOOST_AUTO_TEST_CASE(deeplyNestedBytesAreRefused) {
  constexpr std::size_t DatagramBytes = 65000;
  constexpr std::size_t StateBytes = 1000000;
  BOOST_TEST(errorOf(decodePeerMessage(std::string(DatagramBytes, '\x81'))));
  BOOST_TEST(errorOf(decodeState(std::string(StateBytes, '\x81'))));
}
