#ifndef CICADAWIND_LINKS_ACCOUNTPOOL_H
#define CICADAWIND_LINKS_ACCOUNTPOOL_H

#include "Core/Clock.h"

#include <cstddef>

namespace cicadawind {

/// What to do for a statement that finds no free connection of its account.
enum class PoolStep {
  /// Wait until a connection becomes free or open.
  Wait,
  /// Open a connection.
  Open,
  /// Close the connection that was used least recently, of any account, and
  /// open one.
  Replace,
};

/// \class AccountPool
/// \brief Decides when a VM opens a connection to a target for a client
/// account, where it may have fewer connections than there are accounts.
///
/// A connection serves one account until it is closed, and opening one occupies
/// a slot of the target. An account with a connection therefore waits for it
/// for a moment before it gets another; an account without one takes the place
/// of the one that was used least recently. Answers the load of many accounts
/// that each send little. All functions take O(1) and read no clock.
class AccountPool {
public:
  struct Options {
    /// Time that a statement waits for a connection that its account has before
    /// another one is opened for it. About the time in which one opens.
    Duration ExtraOpenDelay = std::chrono::milliseconds(15);
    /// Number of connections to a target that are opened at the same time.
    std::size_t MaxOpenings = 2;
  };

  /// The connections of this VM to one target.
  struct State {
    /// Connections that are open or being opened, of all accounts.
    std::size_t Total = 0;
    /// Those of them that are being opened.
    std::size_t Opening = 0;
    /// Those that are open and free; none is of the account.
    std::size_t Free = 0;
    /// Greatest permitted total.
    std::size_t Limit = 0;
    /// Connections of the account, with those that are being opened.
    std::size_t OfAccount = 0;
    /// Those of the account that are being opened.
    std::size_t OpeningOfAccount = 0;
  };

  AccountPool() = default;
  explicit AccountPool(Options Opts) : Opts(Opts) {}

  /// Returns what to do for a statement of an account that has waited for
  /// \p Waited.
  PoolStep nextStep(const State &Now, Duration Waited) const;

private:
  Options Opts;
};

} // namespace cicadawind

#endif
