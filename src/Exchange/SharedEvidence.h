#ifndef CICADAWIND_EXCHANGE_SHAREDEVIDENCE_H
#define CICADAWIND_EXCHANGE_SHAREDEVIDENCE_H

#include "Core/Clock.h"
#include "Exchange/PeerMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicadawind {

/// \class SharedEvidence
/// \brief Decides what this VM passes on of other VMs' evidence on primaries
/// in doubt, to whom, and when.
///
/// A VM that asks for more than this VM's own evidence gets a list with each
/// report. What arrives later is passed on as it arrives, so that evidence does
/// not wait for the next query. A VM gets each piece of evidence once. Times
/// are of this VM's clock: the age of a piece is the time since it was true at
/// the latest. Performs no input or output and reads no clock. Not thread safe.
class SharedEvidence {
public:
  struct Options {
    /// Minimum time between two lists that a VM gets without having asked in
    /// between.
    Duration PassOnInterval = std::chrono::milliseconds(5);
    /// Time after its last query for which a VM gets lists. Covers two queries
    /// that are lost.
    Duration SubscriptionLifetime = std::chrono::milliseconds(250);
    /// Age up to which evidence is passed on.
    Duration EvidenceLifetime = std::chrono::milliseconds(1000);
    /// Maximum length of a list, so that a report fits in a packet.
    std::size_t MaxListed = 40;
  };

  /// Group and instance that evidence is on.
  using Key = std::pair<std::string, std::string>;

  /// Evidence of another VM.
  struct Evidence {
    std::string Vm;
    /// Whether that VM is in this VM's region.
    bool IsNear = false;
    std::optional<Duration> ContactAge;
    bool ReachesDirectly = false;
    /// Time not later than when that VM reported this.
    TimePoint At;
  };

  /// A list that is due.
  struct DueList {
    Key On;
    /// The VM that gets it, and its last query.
    std::string To;
    std::uint64_t Number = 0;
    /// Time since that query arrived.
    Duration Held = Duration::zero();
    std::vector<ReportedEvidence> Listed;
  };

  explicit SharedEvidence(Options Opts);

  /// Records \p New. Returns whether it is newer than what is known of its VM.
  bool record(const Key &On, const Evidence &New);
  /// Records that \p Vm asks for the evidence of the VMs in \p Scope with the
  /// query \p Number.
  void recordQuery(const Key &On, EvidenceScope Scope, const std::string &Vm,
                   std::uint64_t Number, TimePoint Now);
  /// Returns what \p Vm has not got yet, at most MaxListed pieces, for the
  /// report on the query that has just been recorded.
  std::vector<ReportedEvidence>
  takeListFor(const Key &On, const std::string &Vm, TimePoint Now);
  /// Returns the lists that are due at \p Now.
  std::vector<DueList> takeDueLists(TimePoint Now);
  /// Returns whether any VM has asked for evidence.
  bool hasSubscriptions() const;
  /// Drops what is too old to be passed on.
  void dropExpired(TimePoint Now);

private:
  struct Numbered {
    Evidence Known;
    /// Increases with each piece of evidence.
    std::uint64_t Sequence = 0;
  };

  struct Subscription {
    EvidenceScope Scope = EvidenceScope::Own;
    std::uint64_t Number = 0;
    TimePoint AskedAt;
    TimePoint SentAt;
    /// Sequence up to which the VM has got the evidence.
    std::uint64_t SentUpTo = 0;
  };

  struct Doubt {
    std::map<std::string, Numbered> ByVm;
    std::map<std::string, Subscription> Subscriptions;
  };

  std::vector<ReportedEvidence> takeList(const Doubt &On, const std::string &Vm,
                                         Subscription &To, TimePoint Now) const;

  Options Opts;
  std::map<Key, Doubt> Doubts;
  std::uint64_t LastSequence = 0;
};

} // namespace cicadawind

#endif
