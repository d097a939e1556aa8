// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE TargetRelay
#include <boost/test/unit_test.hpp>

#include "Proxy/ProxyWorld.h"
#include "Proxy/TargetRelay.h"

using namespace cicadawind;
using namespace cicadawind::test;

namespace {

/// A world with a relay, and a link that takes it.
struct RelayedWorld : ProxyWorld {
  RelayedWorld()
      : Relay(Loop, {.Address = "127.0.0.1",
                     .AddressOf = [this](const std::string &OfGroup,
                                         const std::string &Id) {
                       return OfGroup == "g" ? Instances.at(Id)->address()
                                             : std::string();
                     }}) {
    Relay.start();
  }

  std::shared_ptr<TargetLink> openLink(const std::string &RelayRequest) {
    TargetLink::Options Opts;
    Opts.Codec = &Codec;
    Opts.Group = "g";
    Opts.Instance = "a";
    Opts.Address = "127.0.0.1:" + std::to_string(Relay.port());
    Opts.RelayRequest = RelayRequest;
    auto Link = std::make_shared<TargetLink>(Loop, Opts);
    std::optional<bool> Opened;
    Link->open([&](std::optional<Error> E) { Opened = !E; });
    runUntil([&] { return Opened.has_value(); });
    return Opened.value_or(false) ? Link : nullptr;
  }

  TargetRelay Relay;
};

} // namespace

BOOST_AUTO_TEST_CASE(aTargetIsReachedThroughAPeer) {
  RelayedWorld World;
  auto Link = World.openLink(TargetRelay::requestFor("g", "a"));
  BOOST_REQUIRE(Link);
  std::optional<TargetReply> Got;
  Link->runStatement("q1", "WRITE i1 x y", std::nullopt,
                     [&](const TargetReply *Reply) {
                       if (Reply)
                         Got = *Reply;
                     });
  BOOST_TEST(World.runUntil([&] { return Got.has_value(); }));
  BOOST_TEST(*Got->Receipt == "r-q1");
  BOOST_TEST(World.Group.read("a", "i1") == "x y");
  Link->close();
  BOOST_TEST(World.runUntil([&] { return World.Relay.connections() == 0; }));
}

// A transaction must not stay open at the target when the VM that began it is
// gone.
BOOST_AUTO_TEST_CASE(theTargetsSideClosesWithThePeers) {
  RelayedWorld World;
  std::size_t Before = World.instance("a").connections();
  auto Link = World.openLink(TargetRelay::requestFor("g", "a"));
  BOOST_REQUIRE(Link);
  BOOST_TEST(World.instance("a").connections() == Before + 1);
  Link->close();
  BOOST_TEST(World.runUntil(
      [&] { return World.instance("a").connections() == Before; }));
}

BOOST_AUTO_TEST_CASE(thePeersSideClosesWithTheTargets) {
  RelayedWorld World;
  auto Link = World.openLink(TargetRelay::requestFor("g", "a"));
  BOOST_REQUIRE(Link);
  World.instance("a").resetConnections();
  BOOST_TEST(World.runUntil([&] { return Link->isClosed(); }));
}

BOOST_AUTO_TEST_CASE(whatIsNotATargetIsRefused) {
  RelayedWorld World;
  for (const char *Request :
       {"RELAY other a\r\n", "RELAY g\r\n", "FETCH g a\r\n", "\r\n"})
    BOOST_TEST_CONTEXT(Request) { BOOST_TEST(!World.openLink(Request)); }
}
