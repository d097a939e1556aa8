#ifndef CICADAWIND_TEST_EMULATOR_EMULATEDGROUP_H
#define CICADAWIND_TEST_EMULATOR_EMULATEDGROUP_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind::emulator {

/// One committed write.
struct LogEntry {
  LogPosition Position;
  std::string Item;
  std::string Data;
  /// The caller's id of the request that committed it.
  std::string RequestId;
};

/// \class EmulatedGroup
/// \brief Emulates the logs of a primary and its replicas in memory.
///
/// A replica receives each entry when the primary commits it and applies it Lag
/// later. A replica with ReplicationPaused receives nothing; once it is no
/// longer paused, it receives the entries that it missed, even if the primary
/// has stepped down meanwhile. A promotion makes the log that the promoted
/// instance has received the log of the group: every other instance, even one
/// that is paused or has crashed, rolls back the entries that are not in that
/// log and receives those that it misses.
///
/// Without fencing, a primary that is replaced goes on with a log of its own
/// until it is demoted, or until SelfDemotionTime after the promotion. Then it
/// rolls back, too.
class EmulatedGroup {
public:
  enum class Fencing { Enforced, None };

  struct Instance {
    bool IsPrimary = false;
    /// Term that the instance leads or follows.
    Term CurrentTerm = 1;
    /// The replica receives no log of a primary of a lower term.
    Term PausedUpTo = 0;
    /// When the instance, a primary without fencing, was replaced.
    std::optional<TimePoint> ReplacedAt;
    std::vector<LogEntry> Log;
    /// Number of entries that reads see.
    std::size_t Applied = 0;
    /// For each entry, the time from which reads see it.
    std::vector<TimePoint> AppliesAt;
    /// Delay between receiving and applying an entry.
    Duration Lag = Duration::zero();
    /// Whether the instance receives no entries.
    bool ReplicationPaused = false;
    /// Whether the instance has crashed.
    bool Down = false;
    /// Whether the instance reaches no other instance. It then keeps its term
    /// and its log, but a promotion of another one still ends its lead.
    bool IsCut = false;
  };

  EmulatedGroup(std::string Name, std::vector<std::string> Members,
                Fencing Kind = Fencing::Enforced);

  const std::string &name() const { return Name; }
  Instance &at(const std::string &Id) { return Instances.at(Id); }
  const std::map<std::string, Instance> &instances() const { return Instances; }
  /// Returns the instance that leads the newest term; empty if it has stepped
  /// down.
  const std::string &primary() const { return Primary; }
  Term term() const { return Current; }

  /// Appends a write to the log. \p Id must be a primary.
  LogPosition commit(const std::string &Id, const std::string &Item,
                     const std::string &Data, const std::string &RequestId,
                     TimePoint Now);

  /// Makes \p Id the primary of the next term.
  void promote(const std::string &Id, TimePoint Now);
  /// Makes \p Id a replica if it is the primary of a term below \p Below.
  void demote(const std::string &Id, Term Below);
  /// Makes the replica \p Id stop receiving the log of a primary of a term
  /// below \p NewTerm.
  void pause(const std::string &Id, Term NewTerm);
  void resume(const std::string &Id);

  /// Copies missing entries to the replicas, unless the instance that they copy
  /// has crashed, and applies the entries that are due at \p Now.
  void advance(TimePoint Now);

  /// Returns the end of the log that \p Id has applied.
  LogPosition applied(const std::string &Id) const;
  /// Returns the end of the log that \p Id has received.
  LogPosition received(const std::string &Id) const;
  /// Returns whether \p Id has applied the entry at \p Position.
  bool includes(const std::string &Id, LogPosition Position) const;
  /// Returns the value of \p Item as reads at \p Id see it; empty if it was
  /// never written.
  std::string read(const std::string &Id, const std::string &Item) const;

  /// Returns the largest number of entries that a promotion rolled back at one
  /// instance.
  std::size_t rolledBack() const { return RolledBack; }

private:
  bool receives(const Instance &Each) const;
  void copyTo(Instance &To, TimePoint Now);
  /// Makes \p Each a replica of the newest primary.
  void follow(Instance &Each, TimePoint Now);

  std::string Name;
  std::map<std::string, Instance> Instances;
  Fencing Kind;
  std::string Primary;
  /// Instance whose log the replicas copy: the latest primary, even after it
  /// has stepped down.
  std::string Source;
  Term Current = 1;
  std::size_t RolledBack = 0;
};

} // namespace cicadawind::emulator

#endif
