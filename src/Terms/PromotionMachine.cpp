#include "Terms/PromotionMachine.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cicadawind {
namespace internal {

/// Interval after which a command without a reply is sent again.
constexpr Duration ResendInterval = std::chrono::milliseconds(100);

} // namespace internal

PromotionMachine::PromotionMachine(Options NewOpts, TermRecord Seen,
                                   std::uint64_t SeenVersion)
    : Opts(std::move(NewOpts)), Machine(Opts.Chart), Previous(std::move(Seen)),
      Version(SeenVersion) {
  assert(!Opts.Members.empty() && "a term requires at least one member");
  assert(!Opts.Claim.empty() &&
         "the claim identifies the attempt and must not be empty");
  Record = Previous;
  Record.Current = Previous.Current + 1;
  Record.State = TermRecord::Phase::Electing;
  Record.Claim = Opts.Claim;
}

PromotionMachine::Commands PromotionMachine::begin(TimePoint Now) {
  Machine.fire("claim");
  StepStart = Now;
  return {WriteTermRecord{Record, Version}};
}

PromotionMachine::Commands PromotionMachine::onWrite(StoreWriteOutcome Outcome,
                                                     std::uint64_t NewVersion,
                                                     TimePoint Now) {
  if (!Machine.is("claiming") && !Machine.is("opening"))
    return {};
  if (Outcome == StoreWriteOutcome::Accepted)
    return continueAfterWrite(NewVersion, Now);
  // A conflict may be caused by an earlier write of this attempt whose reply
  // was lost. Reading the record shows whether it was.
  Machine.fire("unknown");
  LastSent = Now;
  return {ReadTermRecord{}};
}

PromotionMachine::Commands
PromotionMachine::continueAfterWrite(std::uint64_t NewVersion, TimePoint Now) {
  Version = NewVersion;
  if (Machine.is("claiming") || Machine.is("settling_claim")) {
    Machine.fire("claimed");
    return startFencing(Now);
  }
  Machine.fire("opened");
  StepStart = Now;
  return tick(Now);
}

PromotionMachine::Commands PromotionMachine::onRead(const TermRecord &Stored,
                                                    std::uint64_t StoredVersion,
                                                    TimePoint Now) {
  if (!Machine.is("settling_claim") && !Machine.is("settling_open"))
    return {};
  if (Stored == Record)
    return continueAfterWrite(StoredVersion, Now);
  if (StoredVersion == Version) {
    // The write has not taken effect. Repeating the conditional update is safe,
    // because at most one of the two can succeed.
    if (Now - StepStart > Opts.StepTimeout) {
      Machine.fire("conflict");
      return {};
    }
    LastSent = Now;
    return {WriteTermRecord{Record, Version}, ReadTermRecord{}};
  }
  Machine.fire("conflict");
  return {};
}

PromotionMachine::Commands PromotionMachine::onReadFailed(TimePoint) {
  return {};
}

std::vector<std::string> PromotionMachine::allMembers() const {
  std::vector<std::string> All = Previous.Members;
  for (const std::string &Member : Opts.Members)
    if (std::find(All.begin(), All.end(), Member) == All.end())
      All.push_back(Member);
  return All;
}

PromotionMachine::Commands PromotionMachine::startFencing(TimePoint Now) {
  StepStart = Now;
  LastSent = Now;
  Commands Out;
  for (const std::string &Instance : allMembers())
    if (!FenceReports.count(Instance))
      Out.push_back(FenceInstance{Instance, Record.Current});
  return Out;
}

PromotionMachine::Commands
PromotionMachine::onFenced(const InstanceReport &Report, TimePoint Now) {
  if (!Machine.is("fencing"))
    return {};
  if (Report.PromisedTerm > Record.Current) {
    Machine.fire("superseded");
    return {};
  }
  if (Report.PromisedTerm < Record.Current)
    return {};
  FenceReports[Report.Instance] = Report;
  LastFence = Now;
  return openIfFenced(Now);
}

bool PromotionMachine::majorityFenced(
    const std::vector<std::string> &Members) const {
  auto IsFenced = [this](const std::string &Member) {
    return FenceReports.count(Member) != 0;
  };
  auto Count = std::count_if(Members.begin(), Members.end(), IsFenced);
  return static_cast<std::size_t>(Count) >= quorumOf(Members.size());
}

bool PromotionMachine::allFenced() const {
  return FenceReports.size() == allMembers().size();
}

bool PromotionMachine::isPreferred(const std::string &Member) const {
  return std::find(Opts.PreferredMembers.begin(), Opts.PreferredMembers.end(),
                   Member) != Opts.PreferredMembers.end();
}

const InstanceReport *PromotionMachine::mostAdvanced() const {
  const InstanceReport *Best = nullptr;
  for (const std::string &Member : Opts.Members) {
    auto It = FenceReports.find(Member);
    if (It == FenceReports.end())
      continue;
    bool BreaksTie = isPreferred(Member) && Best &&
                     !isPreferred(Best->Instance) &&
                     It->second.Received == Best->Received;
    if (!Best || It->second.Received > Best->Received || BreaksTie)
      Best = &It->second;
  }
  return Best;
}

PromotionMachine::Commands PromotionMachine::openIfFenced(TimePoint Now) {
  if (!majorityFenced(Opts.Members))
    return {};
  if (!Previous.Members.empty() && !majorityFenced(Previous.Members))
    return {};
  if (!allFenced() && Now - StepStart < Opts.FenceGrace)
    return {};
  // A member that joins with this term may hold less of the log than one that
  // leaves. Waits for a member of the new term that is as advanced as every
  // fenced instance. If none is fenced in time, the step times out.
  const InstanceReport *Best = mostAdvanced();
  for (const auto &[Name, Report] : FenceReports)
    if (Report.Received > Best->Received)
      return {};
  Record.State = TermRecord::Phase::Open;
  Record.Primary = Best->Instance;
  Record.Members = Opts.Members;
  Record.addEnd(
      {.Ended = Record.Current - 1, .LastIndex = Best->Received.Index});
  Machine.fire("fenced");
  StepStart = Now;
  return {WriteTermRecord{Record, Version}};
}

PromotionMachine::Commands
PromotionMachine::onPromoted(const InstanceReport &Report, TimePoint) {
  if (!Machine.is("promoting"))
    return {};
  if (Report.PromisedTerm > Record.Current)
    Machine.fire("superseded");
  else if (Report.PromisedTerm == Record.Current && Report.IsPrimary)
    Machine.fire("promoted");
  return {};
}

PromotionMachine::Commands PromotionMachine::tick(TimePoint Now) {
  if (Machine.is("fencing")) {
    Commands Out = openIfFenced(Now);
    if (!Out.empty() || Machine.finished())
      return Out;
    if (Now - StepStart > Opts.StepTimeout) {
      Machine.fire("expired");
      return {};
    }
    if (Now - LastSent < internal::ResendInterval)
      return {};
    // Resending must not extend the timeout of the step.
    TimePoint FencingStart = StepStart;
    Out = startFencing(Now);
    StepStart = FencingStart;
    return Out;
  }
  if (Machine.is("waiting") && Now - LastFence >= Opts.LeaseLength) {
    Machine.fire("lease_passed");
    StepStart = Now;
    LastSent = Now;
    return {PromoteInstance{Record.Primary, Record.Current}};
  }
  bool ResendDue = Now - LastSent >= internal::ResendInterval;
  if (Machine.is("promoting") && Now - StepStart > Opts.StepTimeout) {
    Machine.fire("expired");
    return {};
  }
  if (Machine.is("promoting") && ResendDue) {
    LastSent = Now;
    return {PromoteInstance{Record.Primary, Record.Current}};
  }
  if ((Machine.is("settling_claim") || Machine.is("settling_open")) &&
      ResendDue) {
    if (Now - StepStart > Opts.StepTimeout) {
      Machine.fire("conflict");
      return {};
    }
    LastSent = Now;
    return {ReadTermRecord{}};
  }
  return {};
}

} // namespace cicadawind
