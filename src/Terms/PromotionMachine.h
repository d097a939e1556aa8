#ifndef CICADAWIND_TERMS_PROMOTIONMACHINE_H
#define CICADAWIND_TERMS_PROMOTIONMACHINE_H

#include "Core/Clock.h"
#include "StateCharts/StateMachine.h"
#include "Terms/InstanceReport.h"
#include "Terms/PromotionCommand.h"

#include <map>
#include <string>
#include <vector>

namespace cicadawind {

/// \class PromotionMachine
/// \brief Performs one attempt to replace a database's primary.
///
/// Interprets the state chart "promotion". The attempt
///
///  - claims the next term in the store,
///  - fences a majority of the members,
///  - opens the term in the store, with the most advanced instance as primary,
///  - waits until the leases of the old term have expired, and
///  - promotes the new primary.
///
/// Each event handler returns the commands that the driver executes next. The
/// driver reports their results as further events. An event may end the
/// attempt; finished() then returns true. If a write to the store has no reply
/// or conflicts, the machine reads the record. The write took effect if the
/// store holds exactly the record that was written. Performs no input or
/// output. Not thread safe.
class PromotionMachine {
public:
  struct Options {
    /// Text that identifies this attempt; unique and not empty.
    std::string Claim;
    /// Members of the new term; must not be empty.
    std::vector<std::string> Members;
    /// Members that are preferred as primary over other members with equally
    /// advanced logs. If empty, no member is preferred.
    std::vector<std::string> PreferredMembers;
    /// Duration of the leases of the old term. The new primary is promoted this
    /// long after the latest fence report, once the term is open.
    Duration LeaseLength = Duration::zero();
    /// Time after which a step without the required replies fails.
    Duration StepTimeout = std::chrono::milliseconds(800);
    /// Time from the start of fencing in which the machine waits for all
    /// instances, even if a majority is fenced, as one of the others may be
    /// more advanced.
    Duration FenceGrace = std::chrono::milliseconds(40);
    std::shared_ptr<const StateChart> Chart;
  };
  using Commands = std::vector<PromotionCommand>;

  /// Creates an attempt to replace the term of \p Seen, which the store holds
  /// with \p Version.
  PromotionMachine(Options Opts, TermRecord Seen, std::uint64_t Version);

  /// Starts the attempt.
  Commands begin(TimePoint Now);
  /// Handles the result of WriteTermRecord. \p Version is the new version of
  /// the record if the write was accepted.
  Commands onWrite(StoreWriteOutcome Outcome, std::uint64_t Version,
                   TimePoint Now);
  /// Handles the result of ReadTermRecord.
  Commands onRead(const TermRecord &Stored, std::uint64_t Version,
                  TimePoint Now);
  /// Handles the failure of ReadTermRecord. The read is repeated by tick().
  Commands onReadFailed(TimePoint Now);
  /// Handles the report that an instance returned for FenceInstance.
  Commands onFenced(const InstanceReport &Report, TimePoint Now);
  /// Handles the report that an instance returned for PromoteInstance.
  Commands onPromoted(const InstanceReport &Report, TimePoint Now);
  /// Repeats commands without a reply and checks timeouts. Must be called
  /// periodically.
  Commands tick(TimePoint Now);

  bool finished() const { return Machine.finished(); }
  bool succeeded() const { return Machine.is("done"); }
  const std::string &state() const { return Machine.state(); }
  /// Returns the record as this attempt last wrote it.
  const TermRecord &record() const { return Record; }
  std::uint64_t version() const { return Version; }

private:
  /// Returns FenceInstance for each member that is not fenced yet.
  Commands startFencing(TimePoint Now);
  /// Opens the term in the store if enough members are fenced.
  Commands openIfFenced(TimePoint Now);
  bool majorityFenced(const std::vector<std::string> &Members) const;
  bool allFenced() const;
  bool isPreferred(const std::string &Member) const;
  /// Returns the members of the previous and of the new term.
  std::vector<std::string> allMembers() const;
  /// Returns the most advanced report of a fenced member of the new term.
  const InstanceReport *mostAdvanced() const;
  /// Continues after a write to the store that took effect.
  Commands continueAfterWrite(std::uint64_t NewVersion, TimePoint Now);

  Options Opts;
  StateMachine Machine;
  /// Record of the term that is replaced.
  TermRecord Previous;
  /// Record of the new term.
  TermRecord Record;
  /// Version of the record in the store.
  std::uint64_t Version;
  /// Reports of the fenced instances, by instance.
  std::map<std::string, InstanceReport> FenceReports;
  TimePoint StepStart;
  /// Time of the latest fence report.
  TimePoint LastFence;
  /// Time at which commands were last sent.
  TimePoint LastSent;
};

} // namespace cicadawind

#endif
