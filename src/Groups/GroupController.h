#ifndef CICADAWIND_GROUPS_GROUPCONTROLLER_H
#define CICADAWIND_GROUPS_GROUPCONTROLLER_H

#include "Core/Random.h"
#include "Core/Result.h"
#include "Groups/FreshnessSamples.h"
#include "Groups/GroupCommand.h"
#include "Terms/LeaseTracker.h"
#include "Terms/PromotionMachine.h"
#include "Terms/PromotionTrigger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// Whether a reply that depends on a log position may be returned to a caller.
enum class CommitState {
  /// The position is replicated to a majority and the lease is valid.
  Committed,
  /// The position did not survive a change of primary.
  Lost,
  /// Not known yet. The state must be queried again after the next event.
  Pending,
};

/// \class GroupController
/// \brief Makes all decisions about the primary of one database.
///
/// Processes reports of instances, results of the store and the passing of
/// time, and returns commands for its driver to execute. Decides
///
///  - whether the lease is valid (LeaseTracker),
///  - how old the data of a replica is (FreshnessSamples),
///  - when to promote (PromotionTrigger) and how (PromotionMachine), and
///  - which instances must be promoted or must follow another primary, so that
///    their roles match the term record.
///
/// Several controllers of one database may act at the same time. Safety depends
/// on the instances' promises and on the conditional updates of the store, not
/// on there being only one controller. Performs no input or output. Not thread
/// safe.
class GroupController {
public:
  using Commands = std::vector<GroupCommand>;
  struct Options {
    /// Identifies the claims of this controller.
    std::string ControllerId;
    /// Duration of the primary's lease.
    Duration LeaseLength = std::chrono::milliseconds(400);
    /// Interval between reads of the record while it names no primary or was
    /// reported by a peer.
    Duration RecordReadInterval = std::chrono::milliseconds(500);
    /// Minimum interval between reads of the record that are caused by newer
    /// terms, as reported by instances.
    Duration MinRecordReadInterval = std::chrono::milliseconds(100);
    /// Interval after which an instance that has not taken its role yet is sent
    /// the command again.
    Duration ControlRetryInterval = std::chrono::milliseconds(350);
    PromotionTrigger::Options Trigger = {};
    std::shared_ptr<const StateChart> PromotionChart;
    RandomSource Random;
  };
  /// Called when a promotion begins or ends and when a term opens.
  using EventHook =
      std::function<void(const std::string &Event, const std::string &Detail)>;

  GroupController(Options Opts, std::vector<std::string> Members);

  /// Replaces the list of instances. Discards the reports of instances that are
  /// no longer members.
  void setMembers(std::vector<std::string> NewMembers);
  /// Sets the function that is called for events.
  void onEvent(EventHook Hook) { EventCallback = std::move(Hook); }

  /// Handles an instance's report, the reply to a request sent at \p Sent.
  Commands onReport(const InstanceReport &Report, TimePoint Sent,
                    TimePoint Now);
  /// Records that, according to one of its replies, \p Instance has applied the
  /// log up to \p Applied.
  void recordApplied(const std::string &Instance, LogPosition Applied);
  /// Handles the report that an instance returned for FenceInstance.
  Commands onFenced(const InstanceReport &Report, TimePoint Now);
  /// Handles the report that an instance returned for PromoteInstance, a
  /// command sent at \p Sent.
  Commands onPromoted(const InstanceReport &Report, TimePoint Sent,
                      TimePoint Now);
  /// Handles the record as stored. \p Version is 0 if there is none.
  Commands onRecord(const TermRecord &Stored, std::uint64_t Version,
                    TimePoint Now);
  /// Handles the failure of ReadTermRecord.
  Commands onRecordUnavailable(TimePoint Now);
  /// Handles a record that a peer reported while the store is unavailable.
  void onPeerRecord(const TermRecord &PeerRecord, TimePoint Now);
  /// Handles the result of the WriteTermRecord that wrote \p Claim.
  Commands onWrite(const std::string &Claim, StoreWriteOutcome Outcome,
                   std::uint64_t Version, TimePoint Now);
  /// Starts and continues promotions and repeats commands. Must be called
  /// periodically.
  Commands tick(TimePoint Now);

  const std::optional<TermRecord> &record() const { return Record; }
  Term term() const { return Record ? Record->Current : 0; }
  /// Returns the instance that serves the current term; empty if none does.
  std::string primary() const;
  bool isPrimary(const std::string &Instance) const;

  bool leaseValidAt(TimePoint Now) const;
  /// Returns the time at which the lease starts. Only meaningful while the
  /// lease is valid.
  TimePoint leaseStart() const;

  Duration leaseLength() const { return Opts.LeaseLength; }

  /// Returns whether \p Position survived the changes of primary; Unknown
  /// without a record.
  PositionOutcome outcomeOf(LogPosition Position) const;
  CommitState commitStateOf(LogPosition Position, TimePoint Now) const;

  /// Returns the age at \p Now of data that includes \p Position; empty if
  /// unknown.
  std::optional<Duration> ageOf(LogPosition Position, TimePoint Now) const;
  /// Returns the latest report of \p Instance; empty if there is none.
  std::optional<InstanceReport> reportOf(const std::string &Instance) const;
  std::size_t reportCount() const { return Reports.size(); }

  /// Requests a planned switchover to another instance while \p Instance is
  /// primary. An empty \p Instance cancels the request.
  void requestSwitchover(const std::string &Instance) {
    SwitchoverFrom = Instance;
  }
  /// Returns whether writes must wait for a planned switchover. While the
  /// primary accepts no new writes, a replica can catch up with it.
  bool writesPaused(TimePoint Now) const;

  bool isPromoting() const { return Promotion.has_value(); }

private:
  /// Replaces the record unless \p NewRecord is older.
  void applyRecord(TermRecord NewRecord, std::uint64_t NewVersion,
                   TimePoint Now);
  void addSample(const InstanceReport &Report, TimePoint Sent);
  Commands readRecord(TimePoint Now);
  bool switchoverDue(TimePoint Now) const;
  Commands startPromotion(const std::string &Reason, TimePoint Now);
  /// Returns \p PromotionCommands as group commands. Ends the promotion if it
  /// has finished.
  Commands continuePromotion(PromotionMachine::Commands PromotionCommands,
                             TimePoint Now);
  /// Returns the commands that make the instances' roles match the record.
  Commands reconcile(TimePoint Now);
  std::optional<GroupCommand> reconcileOne(const InstanceReport &Report,
                                           TimePoint Now);
  void notify(const std::string &Event, const std::string &Detail) const;

  Options Opts;
  std::vector<std::string> Members;
  std::optional<TermRecord> Record;
  std::uint64_t Version = 0;
  /// False if the record was reported by a peer.
  bool RecordFromStore = false;
  /// Time at which the current term and its phase were first seen.
  TimePoint RecordSince;
  TimePoint LastRead;
  std::optional<LeaseTracker> Lease;
  FreshnessSamples Samples{FreshnessSamples::Options{}};
  PromotionTrigger Trigger;
  std::optional<PromotionMachine> Promotion;
  TimePoint PromotionSince;
  std::map<std::string, InstanceReport> Reports;
  /// Time at which each instance was last sent a command to change its role.
  std::map<std::string, TimePoint> RoleCommandSentAt;
  /// Instance that a planned switchover replaces; empty if none is requested.
  std::string SwitchoverFrom;
  EventHook EventCallback;
};

} // namespace cicadawind

#endif
