#include "Groups/GroupController.h"

#include <algorithm>
#include <utility>

namespace cicadawind {
namespace internal {

/// A planned switchover pauses writes for SwitchoverPause in each
/// SwitchoverPeriod until it succeeds.
constexpr Duration SwitchoverPause = std::chrono::milliseconds(300);
constexpr Duration SwitchoverPeriod = std::chrono::seconds(3);

} // namespace internal

GroupController::GroupController(Options NewOpts,
                                 std::vector<std::string> NewMembers)
    : Opts(std::move(NewOpts)), Members(std::move(NewMembers)),
      Trigger(Opts.Trigger) {}

void GroupController::setMembers(std::vector<std::string> NewMembers) {
  Members = std::move(NewMembers);
  std::erase_if(Reports, [this](const auto &Row) {
    return std::find(Members.begin(), Members.end(), Row.first) ==
           Members.end();
  });
}

void GroupController::notify(const std::string &Event,
                             const std::string &Detail) const {
  if (EventCallback)
    EventCallback(Event, Detail);
}

std::string GroupController::primary() const {
  return Record && Record->isOpen() ? Record->Primary : std::string();
}

bool GroupController::isPrimary(const std::string &Instance) const {
  return !Instance.empty() && primary() == Instance;
}

bool GroupController::leaseValidAt(TimePoint Now) const {
  return Lease && Lease->validAt(Now);
}

TimePoint GroupController::leaseStart() const {
  return Lease ? Lease->leaseStart() : TimePoint();
}

PositionOutcome GroupController::outcomeOf(LogPosition Position) const {
  return Record ? Record->outcomeOf(Position) : PositionOutcome::Unknown;
}

CommitState GroupController::commitStateOf(LogPosition Position,
                                           TimePoint Now) const {
  PositionOutcome Outcome = outcomeOf(Position);
  if (Outcome == PositionOutcome::Discarded)
    return CommitState::Lost;
  if (Outcome != PositionOutcome::Survives || !leaseValidAt(Now))
    return CommitState::Pending;
  // An entry of the current term that is replicated to a majority commits all
  // entries before it.
  bool Committed = Position.WrittenIn == Lease->term()
                       ? Lease->isCommitted(Position)
                       : Lease->commitIndex() > Position.Index;
  return Committed ? CommitState::Committed : CommitState::Pending;
}

std::optional<Duration> GroupController::ageOf(LogPosition Position,
                                               TimePoint Now) const {
  if (outcomeOf(Position) != PositionOutcome::Survives)
    return std::nullopt;
  return Samples.ageOf(Position.Index, Now);
}

std::optional<InstanceReport>
GroupController::reportOf(const std::string &Instance) const {
  auto It = Reports.find(Instance);
  if (It == Reports.end())
    return std::nullopt;
  return It->second;
}

GroupController::Commands
GroupController::onReport(const InstanceReport &Report, TimePoint Sent,
                          TimePoint Now) {
  Reports[Report.Instance] = Report;
  Trigger.add(Report, Now);
  if (Lease)
    Lease->add(Report, Sent);
  addSample(Report, Sent);
  bool Newer = Report.PromisedTerm > term();
  if (Newer && !Promotion)
    return readRecord(Now);
  return {};
}

void GroupController::recordApplied(const std::string &Instance,
                                    LogPosition Applied) {
  auto It = Reports.find(Instance);
  if (It != Reports.end() && Applied > It->second.Applied)
    It->second.Applied = Applied;
}

void GroupController::addSample(const InstanceReport &Report, TimePoint Sent) {
  if (!isPrimary(Report.Instance) || !Report.IsPrimary || !Lease)
    return;
  if (Report.PromisedTerm != Record->Current || Lease->superseded())
    return;
  // The lease must be valid at the time of the sample.
  if (Sent < Lease->leaseStart() + Opts.LeaseLength)
    Samples.add(Sent, Report.Received.Index);
}

GroupController::Commands GroupController::readRecord(TimePoint Now) {
  if (LastRead != TimePoint() && Now - LastRead < Opts.MinRecordReadInterval)
    return {};
  LastRead = Now;
  return {ReadTermRecord{}};
}

GroupController::Commands GroupController::onRecord(const TermRecord &Stored,
                                                    std::uint64_t StoredVersion,
                                                    TimePoint Now) {
  RecordFromStore = true;
  if (Promotion)
    return continuePromotion(Promotion->onRead(Stored, StoredVersion, Now),
                             Now);
  applyRecord(Stored, StoredVersion, Now);
  return {};
}

GroupController::Commands GroupController::onRecordUnavailable(TimePoint Now) {
  if (!Promotion)
    return {};
  return continuePromotion(Promotion->onReadFailed(Now), Now);
}

void GroupController::onPeerRecord(const TermRecord &PeerRecord,
                                   TimePoint Now) {
  // A record of a peer may be outdated, like an older read of the store, and
  // is therefore only applied if its term is newer.
  if (Promotion || (Record && PeerRecord.Current <= Record->Current))
    return;
  applyRecord(PeerRecord, 0, Now);
  RecordFromStore = false;
}

void GroupController::applyRecord(TermRecord NewRecord,
                                  std::uint64_t NewVersion, TimePoint Now) {
  if (Record && NewRecord.Current < Record->Current)
    return;
  bool SameTerm = Record && NewRecord.Current == Record->Current &&
                  NewRecord.State == Record->State;
  bool RevertsToElecting = Record && NewRecord.Current == Record->Current &&
                           Record->isOpen() && !NewRecord.isOpen();
  if (RevertsToElecting || (SameTerm && NewVersion < Version))
    return;
  Version = NewVersion;
  Trigger.observe(NewRecord, NewVersion, Now);
  Record = std::move(NewRecord);
  if (SameTerm)
    return;
  RecordSince = Now;
  Samples.clear();
  Lease.reset();
  if (!Record->isOpen())
    return;
  Lease.emplace(LeaseTracker::Options{.Current = Record->Current,
                                      .Members = Record->Members,
                                      .Length = Opts.LeaseLength});
  notify("term open",
         std::to_string(Record->Current) + " on " + Record->Primary);
}

bool GroupController::writesPaused(TimePoint Now) const {
  if (SwitchoverFrom.empty() || !isPrimary(SwitchoverFrom))
    return false;
  // Writes are paused for a part of each period only. Otherwise a replica that
  // never catches up would stop them permanently.
  Duration Since = Now - RecordSince;
  return Since % internal::SwitchoverPeriod < internal::SwitchoverPause;
}

bool GroupController::switchoverDue(TimePoint Now) const {
  if (!writesPaused(Now) || Members.size() < 2)
    return false;
  auto PrimaryReport = Reports.find(SwitchoverFrom);
  if (PrimaryReport == Reports.end())
    return false;
  for (const auto &[Name, Report] : Reports)
    if (Name != SwitchoverFrom && Report.ReplicatesFrom == SwitchoverFrom &&
        Report.Received == PrimaryReport->second.Received)
      return true;
  return false;
}

GroupController::Commands GroupController::tick(TimePoint Now) {
  if (Promotion)
    return continuePromotion(Promotion->tick(Now), Now);
  bool NeedsRead = !Record || !Record->isOpen() || !RecordFromStore;
  if (NeedsRead && Now - LastRead > Opts.RecordReadInterval) {
    LastRead = Now;
    return {ReadTermRecord{}};
  }
  if (!Record || Members.empty())
    return {};
  // A promotion requires the store. Reconciling the instances with a record
  // that a peer reported does not.
  if (RecordFromStore) {
    bool Bootstrap = Record->Current == 0;
    bool Quorum = Reports.size() >= quorumOf(Members.size());
    if (Bootstrap && Quorum && Now - RecordSince >= Opts.Trigger.RankDelay)
      return startPromotion("first term", Now);
    if (!Bootstrap && switchoverDue(Now))
      return startPromotion("hand-over", Now);
    if (!Bootstrap && Trigger.shouldPromote(*Record, Now))
      return startPromotion(
          Record->isOpen() ? "primary silent" : "claim stalled", Now);
  }
  return reconcile(Now);
}

GroupController::Commands
GroupController::startPromotion(const std::string &Reason, TimePoint Now) {
  PromotionMachine::Options MachineOpts;
  MachineOpts.Claim = Opts.ControllerId + "/" + std::to_string(Opts.Random());
  for (const std::string &Member : Members)
    if (Member != SwitchoverFrom)
      MachineOpts.PreferredMembers.push_back(Member);
  MachineOpts.Members = Members;
  MachineOpts.LeaseLength = Opts.LeaseLength;
  MachineOpts.Chart = Opts.PromotionChart;
  notify("promotion begins",
         Reason + ", term " + std::to_string(Record->Current + 1));
  PromotionSince = Now;
  Promotion.emplace(std::move(MachineOpts), *Record, Version);
  return continuePromotion(Promotion->begin(Now), Now);
}

GroupController::Commands
GroupController::continuePromotion(PromotionMachine::Commands PromotionCommands,
                                   TimePoint Now) {
  Commands Out;
  for (PromotionCommand &Command : PromotionCommands)
    std::visit(
        [&Out](auto &Alternative) { Out.emplace_back(std::move(Alternative)); },
        Command);
  if (!Promotion->finished())
    return Out;
  notify("promotion ended",
         Promotion->state() + " after " +
             std::to_string(toMillis(Now - PromotionSince).count()) + " ms");
  bool Succeeded = Promotion->succeeded();
  TermRecord Final = Promotion->record();
  std::uint64_t FinalVersion = Promotion->version();
  Promotion.reset();
  if (Succeeded)
    applyRecord(std::move(Final), FinalVersion, Now);
  LastRead = Now;
  Out.emplace_back(ReadTermRecord{});
  return Out;
}

GroupController::Commands
GroupController::onFenced(const InstanceReport &Report, TimePoint Now) {
  if (!Promotion)
    return {};
  return continuePromotion(Promotion->onFenced(Report, Now), Now);
}

GroupController::Commands
GroupController::onPromoted(const InstanceReport &Report, TimePoint Sent,
                            TimePoint Now) {
  if (Promotion)
    return continuePromotion(Promotion->onPromoted(Report, Now), Now);
  return onReport(Report, Sent, Now);
}

GroupController::Commands GroupController::onWrite(const std::string &Claim,
                                                   StoreWriteOutcome Outcome,
                                                   std::uint64_t NewVersion,
                                                   TimePoint Now) {
  if (!Promotion || Promotion->record().Claim != Claim)
    return {};
  return continuePromotion(Promotion->onWrite(Outcome, NewVersion, Now), Now);
}

GroupController::Commands GroupController::reconcile(TimePoint Now) {
  Commands Out;
  if (!Record->isOpen())
    return Out;
  for (const auto &[Name, Report] : Reports)
    if (std::optional<GroupCommand> Command = reconcileOne(Report, Now))
      Out.push_back(std::move(*Command));
  return Out;
}

std::optional<GroupCommand>
GroupController::reconcileOne(const InstanceReport &Report, TimePoint Now) {
  const std::string &Instance = Report.Instance;
  if (Report.PromisedTerm > Record->Current)
    return std::nullopt;
  auto LastCommand = RoleCommandSentAt.find(Instance);
  if (LastCommand != RoleCommandSentAt.end() &&
      Now - LastCommand->second < Opts.ControlRetryInterval)
    return std::nullopt;
  bool InTerm = Report.PromisedTerm == Record->Current;
  if (Instance == Record->Primary) {
    // Another controller may have only just opened the term. Leases of the
    // previous term have expired one lease length after this controller first
    // saw the record.
    bool OldLeasesExpired = Now - RecordSince >= Opts.LeaseLength;
    if ((InTerm && Report.IsPrimary) || !OldLeasesExpired)
      return std::nullopt;
    RoleCommandSentAt[Instance] = Now;
    return PromoteInstance{Instance, Record->Current};
  }
  if (InTerm && Report.ReplicatesFrom == Record->Primary)
    return std::nullopt;
  RoleCommandSentAt[Instance] = Now;
  return FollowPrimary{.Instance = Instance,
                       .NewTerm = Record->Current,
                       .Primary = Record->Primary,
                       .TruncateAfter = Record->Ends.empty()
                                            ? 0
                                            : Record->Ends.back().LastIndex};
}

} // namespace cicadawind
