#ifndef CICADAWIND_TEST_PROMOTION_EMULATEDPROMOTIONSERVICE_H
#define CICADAWIND_TEST_PROMOTION_EMULATEDPROMOTIONSERVICE_H

#include "Async/AsyncSignal.h"
#include "Core/Clock.h"
#include "Emulator/EmulatedGroup.h"
#include "Platform/PromotionService.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cicadawind::test {

/// \class EmulatedPromotionService
/// \brief A promotion service that promotes instances of an emulated group and
/// fences the orders.
class EmulatedPromotionService : public PromotionService {
public:
  explicit EmulatedPromotionService(emulator::EmulatedGroup &Group)
      : Group(Group) {}

  boost::asio::awaitable<PromotionOutcome>
  promote(std::string, std::string Instance, std::string, std::uint64_t Token,
          Duration) override {
    Tokens.push_back(Token);
    Instances.push_back(Instance);
    if (LoseOrders > 0) {
      --LoseOrders;
      if (OnLostOrder)
        OnLostOrder();
      co_await sleepFor(LostOrderTime);
      co_return PromotionOutcome::Unknown;
    }
    if (Token < HighestToken || Group.at(Instance).Down)
      co_return PromotionOutcome::Refused;
    carryOut(Instance, Token);
    co_return PromotionOutcome::Accepted;
  }

  /// Carries out an order of another VM.
  void carryOut(const std::string &Instance, std::uint64_t Token) {
    HighestToken = Token;
    Group.promote(Instance, BootClock::now());
  }

  /// Tokens and instances of all orders, in order of arrival.
  std::vector<std::uint64_t> Tokens;
  std::vector<std::string> Instances;
  /// Number of orders, from the next one on, that have no effect and get no
  /// reply.
  int LoseOrders = 0;
  /// Time that each of them takes.
  Duration LostOrderTime = Duration::zero();
  /// Called for each of them.
  std::function<void()> OnLostOrder;

private:
  emulator::EmulatedGroup &Group;
  std::uint64_t HighestToken = 0;
};

} // namespace cicadawind::test

#endif
