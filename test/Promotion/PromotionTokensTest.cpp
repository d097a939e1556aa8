// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE PromotionTokens
#include <boost/test/unit_test.hpp>

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
                  co_await Tokens.reserve("g");
                  co_return true;
                }(*Holders[Vm]));
  }
  /// Returns the token that VM number \p Vm uses, or 0 if it gets none.
  std::uint64_t take(std::size_t Vm) {
    Result<std::uint64_t> Token = test::runOn(Loop, Holders[Vm]->take("g"));
    return errorOf(Token) ? 0 : valueOf(Token);
  }

  boost::asio::io_context Loop;
  fakes::MemoryStore Store;
  std::vector<std::unique_ptr<PromotionTokens>> Holders;
};

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
