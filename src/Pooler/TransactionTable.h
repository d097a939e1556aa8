#ifndef CICADAWIND_POOLER_TRANSACTIONTABLE_H
#define CICADAWIND_POOLER_TRANSACTIONTABLE_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"
#include "Pooler/PooledConnection.h"
#include "StateCharts/StateMachine.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cicadawind {

class TargetPool;

/// \class OpenTransaction
/// \brief An open transaction with its connection and its state machine, which
/// follows the chart "transaction".
struct OpenTransaction {
  std::string Id;
  std::string Database;
  std::string Caller;
  Term TransactionTerm = 0;
  std::shared_ptr<TargetPool> Pool;
  std::unique_ptr<PooledConnection> Connection;
  StateMachine Machine;
  TimePoint LastUse;
  /// Reason for the end; empty while the transaction is open.
  std::string EndedBecause;
};

/// \class TransactionTable
/// \brief Holds the open transactions of a pooler and the outcome of recently
/// ended ones.
///
/// The outcome of an ended transaction is kept for RetentionTime, so that a
/// repeated commit gets the first outcome and any other late call is refused
/// with the reason instead of TransactionUnknown.
class TransactionTable {
public:
  static constexpr Duration RetentionTime = std::chrono::seconds(60);

  using Entry = std::shared_ptr<OpenTransaction>;

  void add(Entry NewEntry);

  /// Returns the open transaction \p Id, or null.
  Entry find(const std::string &Id) const;

  /// How a transaction ended.
  struct Ended {
    /// Final state of the chart: "committed", "rolled_back" or "unknown".
    std::string State;
    /// Completes the sentence "the transaction was ..." in error messages.
    std::string Reason;
    /// Log position of the commit, once its reply was received.
    LogPosition Committed;
    TimePoint EndedAt;
  };

  /// Returns how transaction \p Id ended; null if it is open or not known.
  const Ended *ended(const std::string &Id) const;

  /// Records the log position that the commit of \p Id wrote. Does nothing
  /// unless the transaction has ended.
  void setCommitted(const std::string &Id, LogPosition Position);

  /// Ends transaction \p Id with \p Event of the chart and returns its
  /// connection to its pool. Does nothing if the chart does not allow the event
  /// in the current state, such as the idle limit while a statement runs.
  void end(const std::string &Id, const std::string &Event,
           const std::string &Reason, TimePoint Now);

  /// Returns the ids of the transactions that run no statement or commit and
  /// were last used before \p Before.
  std::vector<std::string> idleSince(TimePoint Before) const;

  /// Returns the ids of all open transactions.
  std::vector<std::string> all() const;

  std::size_t size() const { return Open.size(); }

  /// Removes ended transactions whose RetentionTime has passed.
  void removeExpired(TimePoint Now);

private:
  std::map<std::string, Entry> Open;
  std::map<std::string, Ended> RecentlyEnded;
};

} // namespace cicadawind

#endif
