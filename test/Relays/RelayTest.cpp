// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE Relay
#include <boost/test/unit_test.hpp>

#include "Proxy/ProxyWorld.h"
#include "Relays/RelayService.h"

#include <boost/asio.hpp>

#include <memory>
#include <vector>

using namespace cicadawind;
using namespace cicadawind::test;

namespace {

/// A ProxyWorld whose VM also relays for other VMs. openLink() opens a link as
/// another VM does.
struct RelayWorld : ProxyWorld {
  RelayWorld() : Relay(Loop, options(*this)) { Relay.start(); }

  static RelayService::Options options(ProxyWorld &World) {
    RelayService::Options Out;
    Out.Address = "127.0.0.1";
    Out.Host.Codec = &World.Codec;
    Out.Host.AcceptRelay = [&World](const std::string &OfGroup,
                                    const std::string &Id) {
      return World.Service->acceptRelay(OfGroup, Id);
    };
    return Out;
  }

  std::shared_ptr<TargetLink> openLink(const std::string &OfGroup = "g",
                                       const std::string &Id = "a") {
    TargetLink::Options Opts;
    Opts.Codec = &Codec;
    Opts.Group = OfGroup;
    Opts.Instance = Id;
    Opts.Address = "127.0.0.1:" + std::to_string(Relay.port());
    Opts.Relay = "vm-1";
    auto Link = std::make_shared<TargetLink>(Loop, Opts);
    std::optional<bool> Opened;
    Link->open([&](std::optional<Error> E) { Opened = !E; });
    runUntil([&] { return Opened.has_value(); });
    return Opened.value_or(false) ? Link : nullptr;
  }

  RelayService Relay;
};

/// Receives the reply to one request.
struct ReplyCapture {
  TargetLink::ReplyHook hook() {
    return [this](const TargetReply *Received) {
      Ended = true;
      if (Received)
        Reply = *Received;
    };
  }
  bool Ended = false;
  std::optional<TargetReply> Reply;
};

TargetReply run(ProxyWorld &World, TargetLink &Link, const std::string &Id,
                const std::string &Text,
                std::optional<LogPosition> After = std::nullopt) {
  ReplyCapture Capture;
  Link.runStatement(Id, Text, After, Capture.hook());
  BOOST_REQUIRE(World.runUntil([&] { return Capture.Ended; }));
  BOOST_REQUIRE(Capture.Reply.has_value());
  return *Capture.Reply;
}

} // namespace

BOOST_AUTO_TEST_CASE(aTargetIsReachedThroughAPeer) {
  RelayWorld World;
  auto Link = World.openLink();
  BOOST_REQUIRE(Link);
  TargetReply Reply = run(World, *Link, "c1", "WRITE i1 x y");
  BOOST_TEST(*Reply.Receipt == "r-c1");
  BOOST_TEST(Reply.Ready.Position.has_value());
  BOOST_TEST(World.Group.read("a", "i1") == "x y");
  BOOST_TEST(run(World, *Link, "c2", "READ i1").Rows.front() == "x y");
}

BOOST_AUTO_TEST_CASE(transactionsAndPositionsAreRelayed) {
  RelayWorld World;
  auto Link = World.openLink();
  BOOST_REQUIRE(Link);
  ReplyCapture BeginReply;
  ReplyCapture ReadReply;
  ReplyCapture RollbackReply;
  Link->begin(false, std::nullopt, BeginReply.hook());
  World.runUntil([&] { return BeginReply.Ended; });
  BOOST_TEST(Link->inTransaction());
  // The rollback is sent before the read is answered.
  Link->runStatement("c1", "READ i1", std::nullopt, ReadReply.hook());
  Link->rollback(RollbackReply.hook());
  World.runUntil([&] { return RollbackReply.Ended; });
  BOOST_REQUIRE(ReadReply.Reply.has_value());
  BOOST_TEST(ReadReply.Reply->Receipt.has_value());
  BOOST_TEST(!Link->inTransaction());
  auto Replica = World.openLink("g", "b");
  BOOST_REQUIRE(Replica);
  LogPosition LaterPosition{.WrittenIn = 1, .Index = 999};
  TargetReply Behind = run(World, *Replica, "c2", "READ i1", LaterPosition);
  BOOST_REQUIRE(Behind.Refused.has_value());
  BOOST_TEST((Behind.Refused->Code == ErrorCode::ReplicaBehind));
}

BOOST_AUTO_TEST_CASE(sessionsOfManyLinksShareFewConnections) {
  RelayWorld World;
  std::vector<std::shared_ptr<TargetLink>> Links;
  for (int I = 0; I < 20; ++I) {
    Links.push_back(World.openLink());
    BOOST_REQUIRE(Links.back());
  }
  for (int Round = 0; Round < 3; ++Round)
    for (std::size_t I = 0; I < Links.size(); ++I) {
      std::string Value = "v" + std::to_string(I);
      Links[I]->applyValues({{"lang", Value}});
      std::string Id = "c" + std::to_string(Round) + "-" + Value;
      run(World, *Links[I], Id, "READ i1");
      BOOST_REQUIRE(World.recordsOf(Id).size() == 1);
      BOOST_TEST(World.recordsOf(Id)[0].Values == "lang=" + Value + ";");
    }
  // The requests ran one after the other. The target would accept 8.
  BOOST_TEST(World.instance("a").connections() <= 2);
}

BOOST_AUTO_TEST_CASE(preparedNamesOfTwoVmsDoNotCollide) {
  RelayWorld World;
  auto First = World.openLink();
  BOOST_REQUIRE(First);
  std::string Name = First->prepare(true, "shape one");
  run(World, *First, "c1", World.Codec.executeText(Name, "i1 v"));
  BOOST_TEST(World.Group.read("a", "i1") == "v");
  auto Second = World.openLink();
  BOOST_REQUIRE(Second);
  // Another VM may use the same name for another template.
  TargetReply Unknown =
      run(World, *Second, "c2", World.Codec.executeText(Name, "i1 w"));
  BOOST_TEST(Unknown.Refused.has_value());
  BOOST_TEST(World.Group.read("a", "i1") == "v");
}

// Guards against a transaction that stays open at the target after the VM that
// began it was lost.
BOOST_AUTO_TEST_CASE(anOpenTransactionEndsWhenItsPeerIsLost) {
  RelayWorld World;
  auto Link = World.openLink();
  BOOST_REQUIRE(Link);
  ReplyCapture BeginReply;
  Link->begin(false, std::nullopt, BeginReply.hook());
  World.runUntil([&] { return BeginReply.Ended; });
  run(World, *Link, "c1", "WRITE i1 x");
  std::size_t Before = World.instance("a").connections();
  Link->close();
  BOOST_TEST(World.runUntil(
      [&] { return World.instance("a").connections() < Before; }));
  BOOST_TEST(World.runUntil([&] { return World.Relay.sessions() == 0; }));
  BOOST_TEST(World.Group.read("a", "i1") == "");
}

BOOST_AUTO_TEST_CASE(aLostReplyFailsTheRequestOfThePeer) {
  RelayWorld World;
  auto Link = World.openLink();
  BOOST_REQUIRE(Link);
  run(World, *Link, "c0", "READ i1");
  World.instance("a").Faults.LoseAnswers = 1;
  ReplyCapture Lost;
  Link->runStatement("c1", "WRITE i1 x", std::nullopt, Lost.hook());
  BOOST_TEST(World.runUntil([&] { return Lost.Ended; }));
  BOOST_TEST(!Lost.Reply.has_value());
  BOOST_TEST(World.recordsOf("c1").size() == 1);
}

// Guards against a peer that takes a relay's refusal for evidence about the
// target. The refusal's code is one that targets do not use for requests.
BOOST_AUTO_TEST_CASE(aRequestWithoutAFreeConnectionIsRefusedInTimeAndNotSent) {
  constexpr Millis MaxWait(100);
  // The refusal may come 180 ms after MaxWait. Time in which this process does
  // not run is no delay of the relay, so the sweeps in that time are counted,
  // which are at least 5 ms apart.
  constexpr unsigned MaxSweepsAfterWait = 36;
  RelayWorld World;
  World.instance("a").Faults.Work = std::chrono::seconds(3);
  std::vector<std::shared_ptr<TargetLink>> Links;
  std::vector<std::unique_ptr<ReplyCapture>> Captures;
  constexpr int RequestCount = 24;
  for (int I = 0; I < RequestCount; ++I) {
    Links.push_back(World.openLink());
    Captures.push_back(std::make_unique<ReplyCapture>());
  }
  auto IsRefused = [&](std::size_t I) {
    return Captures[I]->Reply && Captures[I]->Reply->Refused &&
           Captures[I]->Reply->Refused->Code == ErrorCode::TooManyConnections;
  };
  TimePoint Start = BootClock::now();
  unsigned SweepsAfterWait = 0;
  World.onSweep([&](TimePoint Now) {
    bool IsLate = Now - Start > MaxWait && !IsRefused(RequestCount - 1);
    SweepsAfterWait += IsLate ? 1 : 0;
  });
  for (std::size_t I = 0; I < Links.size(); ++I) {
    Links[I]->setRelayOptions(0, MaxWait, {});
    Links[I]->runStatement("c" + std::to_string(I), "WRITE i1 x", std::nullopt,
                           Captures[I]->hook());
  }
  BOOST_TEST(World.runUntil([&] { return IsRefused(RequestCount - 1); }));
  World.onSweep(nullptr);
  BOOST_TEST(SweepsAfterWait < MaxSweepsAfterWait);
  BOOST_TEST(World.recordsOf("c" + std::to_string(RequestCount - 1)).empty());
}

BOOST_AUTO_TEST_CASE(theStatusComesFromTheTarget) {
  RelayWorld World;
  auto Link = World.openLink("g", "b");
  BOOST_REQUIRE(Link);
  ReplyCapture StatusReply;
  Link->askStatus(StatusReply.hook());
  BOOST_TEST(World.runUntil([&] { return StatusReply.Ended; }));
  BOOST_REQUIRE(StatusReply.Reply.has_value());
  BOOST_REQUIRE(StatusReply.Reply->Rows.size() == 1);
  std::optional<TargetStatus> Status =
      World.Codec.decodeStatus(StatusReply.Reply->Rows.front());
  BOOST_REQUIRE(Status.has_value());
  BOOST_TEST(!Status->IsPrimary);
}

BOOST_AUTO_TEST_CASE(unknownTargetsAreRefused) {
  RelayWorld World;
  BOOST_TEST(!World.openLink("other", "a"));
  BOOST_TEST(!World.openLink("g", "z"));
  BOOST_TEST(!World.openLink("g", ""));
  BOOST_TEST(World.runUntil([&] { return World.Relay.sessions() == 0; }));
}

BOOST_AUTO_TEST_CASE(malformedLinesEndTheSessionAndRunNothing) {
  for (const char *Line :
       {"QUERY x1 WRITE i1 x", "0 QUERY x1 WRITE i1 x",
        "a b QUERY x1 WRITE i1 x", "0 -5 QUERY x1 WRITE i1 x", "0 5 HELLO",
        "0 5 QUERY x1 SHOUT i1", "0 5 QUERY x1 AFTER q READ i1", "0 5 ", ""})
    BOOST_TEST_CONTEXT(Line) {
      RelayWorld World;
      auto Stream = LineStream::unconnected(World.Loop, {});
      bool Ended = false;
      Stream->onLine([](std::string_view) {});
      Stream->onEnd([&](LineStream::End) { Ended = true; });
      Stream->connect("127.0.0.1:" + std::to_string(World.Relay.port()),
                      [&](bool) {
                        Stream->start();
                        Stream->send("CARRY g a\r\nSTARTUP g x a\r\n");
                        Stream->send(std::string(Line) + "\r\n");
                      });
      BOOST_TEST(World.runUntil([&] { return Ended; }));
      BOOST_TEST(World.callersRecords().empty());
      Stream->close();
    }
}

namespace {

/// Another VM, which reaches the targets through relays because a target
/// accepts fewer connections than there are VMs.
struct RelayedVm {
  /// If \p FirstIsUnresponsive, the relay that it uses first for "a" accepts
  /// connections and never replies.
  explicit RelayedVm(RelayWorld &World, bool FirstIsUnresponsive = false)
      : World(World), UnresponsivePeer(World.Loop, anyLoopbackPort()),
        Service(World.Loop, options(World), Meter) {
    Service.applyConfig(World.Config);
    Service.setPeers(peers(FirstIsUnresponsive ? firstRelay("a") : ""));
    Service.applyTargets(World.listedTargets(), 1);
    World.onSweep([this](TimePoint Now) { Service.sweep(Now); });
  }
  ~RelayedVm() { World.onSweep(nullptr); }

  static boost::asio::ip::tcp::endpoint anyLoopbackPort() {
    return {boost::asio::ip::address_v4::loopback(), 0};
  }
  static ProxyService::Options options(ProxyWorld &World) {
    ProxyService::Options Out;
    Out.Codec = &World.Codec;
    Out.Vm = "far";
    Out.FailureDomain = "d2";
    Out.Region = "r1";
    Out.Regions = {{"d1", "r1"}, {"d2", "r1"}};
    Out.Random = [] { return 3; };
    return Out;
  }
  /// Returns nine VMs in the targets' failure domain. The one with the name
  /// \p UnresponsiveVm accepts connections and never replies.
  std::vector<VmEntry> peers(const std::string &UnresponsiveVm) const {
    std::vector<VmEntry> Out;
    for (int I = 0; I < 9; ++I) {
      VmEntry Entry;
      Entry.Vm = "near-" + std::to_string(I);
      Entry.FailureDomain = "d1";
      Entry.Region = "r1";
      int Port = Entry.Vm == UnresponsiveVm
                     ? UnresponsivePeer.local_endpoint().port()
                     : World.Relay.port();
      Entry.PoolerPeer = "127.0.0.1:" + std::to_string(Port);
      Out.push_back(Entry);
    }
    return Out;
  }
  /// Returns the relay that this VM uses first for \p Instance, which accepts 8
  /// connections.
  std::string firstRelay(const std::string &Instance) const {
    RelayPlan::Options Opts;
    Opts.Vm = "far";
    Opts.FailureDomain = "d2";
    Opts.Region = "r1";
    RelayPlan Plan(Opts);
    Plan.setPeers(peers(""));
    for (const TargetEntry &Entry : World.listedTargets())
      if (Entry.Instance == Instance)
        return Plan.pathTo(Entry, 8).Relays.front().Vm;
    return {};
  }

  RelayWorld &World;
  Metrics Meter;
  boost::asio::ip::tcp::acceptor UnresponsivePeer;
  ProxyService Service;
};

} // namespace

BOOST_AUTO_TEST_CASE(callersOfAVmWithoutDirectConnectionsAreServed) {
  RelayWorld World;
  RelayedVm Relayed(World);
  BOOST_TEST(!Relayed.Service.findGroup("g")->isDirect("a"));
  ProxyCaller Writer(World, Relayed.Service, "latest");
  BOOST_TEST(Writer.ask("WRITE i1 one").starts_with("COMPLETE"));
  BOOST_TEST(Writer.ask("READ i1").starts_with("ROW one"));
  Writer.ask("BEGIN");
  Writer.ask("WRITE i1 two");
  BOOST_TEST(Writer.ask("COMMIT").starts_with("COMPLETE"));
  ProxyCaller Reader(World, Relayed.Service, "own");
  BOOST_TEST(Reader.ask("WRITE i1 three").starts_with("COMPLETE"));
  BOOST_TEST(Reader.ask("READ i1").starts_with("ROW three"));
  Reader.ask("PREPARE s1 READ shape");
  BOOST_TEST(Reader.ask("EXECUTE s1 i1").starts_with("ROW three"));
  ProxyCaller BoundedReader(World, Relayed.Service, "bounded");
  BOOST_TEST(BoundedReader.ask("READ i1").starts_with("ROW"));
}

BOOST_AUTO_TEST_CASE(anUnresponsiveRelayDelaysNoStatement) {
  RelayWorld World;
  RelayedVm Relayed(World, true);
  ProxyCaller Caller(World, Relayed.Service, "latest");
  TimePoint Start = BootClock::now();
  std::string Response = Caller.ask("WRITE i1 x");
  BOOST_TEST(Response.starts_with("COMPLETE"), Response);
  BOOST_TEST((BootClock::now() - Start < std::chrono::milliseconds(300)));
}

// Guards against a needless failover: when a request on a relayed path times
// out, the relay may be at fault, so the timeout is no evidence against the
// primary. This does not hold for the fallback relay of a direct path: a
// statement that times out over it is recorded as a failure of the target.
BOOST_AUTO_TEST_CASE(timeoutsThroughRelaysAreNoEvidenceAgainstThePrimary) {
  RelayWorld World;
  RelayedVm Relayed(World);
  ProxyCaller Caller(World, Relayed.Service, "latest");
  Caller.ask("WRITE i1 x");
  World.instance("a").Faults.Silent = true;
  Caller.send("QUERY z1 WRITE i1 y");
  // Runs for longer than the statement timeout of 800 ms.
  World.runFor(std::chrono::milliseconds(1000));
  GroupDispatcher &Group = *Relayed.Service.findGroup("g");
  BOOST_TEST(!Group.isVoter());
  BOOST_TEST(!Group.failureDetector().failingSince().has_value());
}
