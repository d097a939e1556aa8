// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE PromotionTokens
#include <boost/test/unit_test.hpp>

#include "Async/AsyncSignal.h"
#include "Fakes/MemoryStore.h"
#include "LoopRunner.h"
#include "Promotion/PromotionTokens.h"

#include <random>
#include <set>

using namespace cicadawind;

namespace {

/// Some VMs that claim the tokens of one group in the same store.
struct TokenWorld {
  explicit TokenWorld(int Vms) : Store(Loop) {
    for (int I = 0; I < Vms; ++I)
      Holders.push_back(std::make_unique<PromotionTokens>(
          PromotionTokens::Options{.Vm = "vm-" + std::to_string(I),
                                   .ReservationInterval = Duration::zero(),
                                   .ReservationDelay = Duration::zero()},
          Store));
  }

  void reserve(std::size_t Vm) {
    test::runOn(Loop,
                [](PromotionTokens &Tokens) -> boost::asio::awaitable<bool> {
                  co_await Tokens.reserve("g", nullptr);
                  co_return true;
                }(*Holders[Vm]));
  }
  /// Returns the token that VM number \p Vm uses, or 0 if it gets none.
  std::uint64_t take(std::size_t Vm) {
    Result<std::uint64_t> Token = test::runOn(Loop, Holders[Vm]->take("g"));
    return errorOf(Token) ? 0 : valueOf(Token);
  }

  /// Lets VM number \p Vm reserve a token with which "b" replaces "a".
  void reserveFor(std::size_t Vm) {
    auto Plan = [this](const PromotionTurn &Turn) {
      Seen = Turn;
      return SuccessionReservation{.Latest = {.Successor = "a", .Opens = 1},
                                   .Prepared = {.Successor = "b", .Opens = 2},
                                   .Replaces = "a"};
    };
    test::runOn(
        Loop,
        [](PromotionTokens &Tokens, PromotionTokens::ReservationPlan How)
            -> boost::asio::awaitable<bool> {
          co_await Tokens.reserve("g", How);
          co_return true;
        }(*Holders[Vm], Plan));
  }
  PromotionTurn begin(std::size_t Vm, PromotionTokens::Source From) {
    return valueOf(test::runOn(Loop, Holders[Vm]->begin("g", From)));
  }
  /// Returns the target for which VM number \p Vm gets a token if it decides
  /// for "c" after \p Turn; empty if it gets none.
  std::string claimForC(std::size_t Vm, const PromotionTurn &Turn,
                        bool MayUseNamed = true) {
    PromotionRecord C{.Successor = "c", .Opens = 2};
    auto Claimed =
        test::runOn(Loop, Holders[Vm]->claim("g", Turn, C, MayUseNamed));
    return errorOf(Claimed) ? "" : valueOf(Claimed).Decision.Successor;
  }

  boost::asio::io_context Loop;
  fakes::MemoryStore Store;
  /// The turn for which the latest reservation was planned.
  PromotionTurn Seen;
  std::vector<std::unique_ptr<PromotionTokens>> Holders;
};

using Source = PromotionTokens::Source;

/// Reserves a token; an error if that is planned.
boost::asio::awaitable<void> reserveUnexpectedly(PromotionTokens &Tokens) {
  co_await Tokens.reserve("g", [](const PromotionTurn &) {
    BOOST_ERROR("planned over an attempt");
    return std::optional<SuccessionReservation>();
  });
}

/// Begins an attempt while a reservation reads the store. Returns whether the
/// attempt has the token that was reserved before.
boost::asio::awaitable<bool> attemptDuringReservation(TokenWorld &World) {
  PromotionTokens &Tokens = *World.Holders[0];
  World.Store.ReadTime = std::chrono::milliseconds(40);
  spawn(World.Loop, reserveUnexpectedly(Tokens));
  co_await sleepFor(World.Store.ReadTime / 4);
  Result<PromotionTurn> Turn =
      co_await Tokens.begin("g", Source::ReservedFirst);
  co_await sleepFor(2 * World.Store.ReadTime);
  co_return !errorOf(Turn) && valueOf(Turn).Reserved.has_value();
}

} // namespace

BOOST_AUTO_TEST_CASE(noTokenIsUsedTwiceAfterTheStoreLostTheClaim) {
  TokenWorld World(2);
  World.Store.keepCopy();
  std::uint64_t First = World.take(0);
  World.Store.restoreCopy();
  BOOST_TEST(World.take(1) > First);
}

BOOST_AUTO_TEST_CASE(noTokenIsUsedTwiceUnderRestoresAndLostAnswers) {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    TokenWorld World(3);
    std::set<std::uint64_t> Used;
    for (int Step = 0; Step < 40; ++Step) {
      std::size_t Vm = Random() % World.Holders.size();
      switch (Random() % 7) {
      case 0:
        World.Store.keepCopy();
        break;
      case 1:
        World.Store.restoreCopy();
        break;
      case 2:
        World.Store.LoseAnswers = 1;
        break;
      case 3:
        World.Store.RestoresBeforeWrite = 1;
        break;
      case 4:
        World.reserve(Vm);
        break;
      default:
        std::uint64_t Token = World.take(Vm);
        BOOST_REQUIRE_MESSAGE(Token == 0 || Used.insert(Token).second,
                              "token " << Token << " twice, seed " << Seed);
      }
    }
  }
}

// Guards against the cause of review/6: a decision that only one VM knows.
BOOST_AUTO_TEST_CASE(withoutTheStoreOnlyTheNamedTargetGetsAToken) {
  TokenWorld World(2);
  World.reserveFor(0);
  PromotionTurn Turn = World.begin(0, Source::ReservedFirst);
  World.Store.Outage = true;
  BOOST_TEST(World.claimForC(0, Turn) == "b");
  World.Store.Outage = false;
  PromotionTurn Other = World.begin(1, Source::StoreOnly);
  BOOST_TEST(Other.Latest.Successor == "a");
  BOOST_TEST(Other.Prepared.Successor == "b");
}

BOOST_AUTO_TEST_CASE(withTheStoreAnyDecisionIsRecordedUnderAReservedToken) {
  TokenWorld World(2);
  World.reserveFor(0);
  BOOST_TEST(World.claimForC(0, World.begin(0, Source::ReservedFirst)) == "c");
  PromotionTurn Other = World.begin(1, Source::StoreOnly);
  BOOST_TEST(Other.Latest.Successor == "c");
  BOOST_TEST(Other.Prepared.Successor == "");
}

// Guards against two targets under one token: the lost write may be in effect.
BOOST_AUTO_TEST_CASE(recordWithoutAResponseGivesNoToken) {
  TokenWorld World(2);
  World.reserveFor(0);
  PromotionTurn Turn = World.begin(0, Source::ReservedFirst);
  World.Store.LoseAnswers = 1;
  BOOST_TEST(World.claimForC(0, Turn) == "");
  BOOST_TEST(World.claimForC(0, Turn) == "");
}

// Guards against a decision under a token that is lower than those which other
// VMs get since the store came back from an older copy.
BOOST_AUTO_TEST_CASE(reservedTokenIsNotUsedForARecordOfALaterEra) {
  TokenWorld World(1);
  World.reserveFor(0);
  PromotionTurn Turn = World.begin(0, Source::ReservedFirst);
  World.Store.keepCopy();
  World.Store.restoreCopy();
  BOOST_TEST(World.claimForC(0, Turn) == "");
}

BOOST_AUTO_TEST_CASE(tokenIsNotUsedForATargetThatMayNotBeNamed) {
  TokenWorld World(1);
  World.reserveFor(0);
  PromotionTurn Turn = World.begin(0, Source::ReservedFirst);
  World.Store.Outage = true;
  BOOST_TEST(World.claimForC(0, Turn, false) == "");
}

// A VM knows that it has not ordered what it reserved. After a start it does
// not, and another VM never does.
BOOST_AUTO_TEST_CASE(onlyItsVmKnowsThatAReservationIsUnused) {
  TokenWorld World(2);
  World.reserveFor(0);
  BOOST_TEST(World.begin(0, Source::StoreOnly).Prepared.Successor == "");
  BOOST_TEST(World.begin(1, Source::StoreOnly).Prepared.Successor == "b");
  World.Holders[0]->recordOrdered("g");
  BOOST_TEST(World.begin(0, Source::StoreOnly).Prepared.Successor == "b");
}

// Guards against a reservation that takes a claim for never ordered while it is
// about to be ordered.
BOOST_AUTO_TEST_CASE(noTokenIsReservedOverAnAttemptThatBegan) {
  TokenWorld World(1);
  World.reserveFor(0);
  BOOST_TEST(test::runOn(World.Loop, attemptDuringReservation(World)));
}
