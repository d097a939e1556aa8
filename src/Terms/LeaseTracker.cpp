#include "Terms/LeaseTracker.h"

#include "Terms/TermRecord.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace cicadawind {

LeaseTracker::LeaseTracker(Options NewOpts) : Opts(std::move(NewOpts)) {
  assert(!Opts.Members.empty() && "a lease requires at least one member");
  for (const std::string &Member : Opts.Members)
    Members[Member] = MemberState();
}

void LeaseTracker::add(const InstanceReport &Report, TimePoint RequestSent) {
  auto It = Members.find(Report.Instance);
  if (It == Members.end())
    return;
  HighestTerm = std::max(HighestTerm, Report.PromisedTerm);
  if (Report.PromisedTerm > Opts.Current)
    return;
  MemberState &Member = It->second;
  Member.RequestSent = std::max(Member.RequestSent, RequestSent);
  if (Report.Received.WrittenIn == Opts.Current)
    Member.ReplicatedIndex =
        std::max(Member.ReplicatedIndex, Report.Received.Index);
}

TimePoint LeaseTracker::leaseStart() const {
  std::vector<TimePoint> SendTimes;
  for (const auto &[Name, Member] : Members)
    SendTimes.push_back(Member.RequestSent);
  std::sort(SendTimes.begin(), SendTimes.end(), std::greater<>());
  return SendTimes[quorumOf(SendTimes.size()) - 1];
}

bool LeaseTracker::validAt(TimePoint Now) const {
  TimePoint Start = leaseStart();
  if (superseded() || Start == TimePoint())
    return false;
  return Now - Start < Opts.Length;
}

LogIndex LeaseTracker::commitIndex() const {
  std::vector<LogIndex> Indexes;
  for (const auto &[Name, Member] : Members)
    Indexes.push_back(Member.ReplicatedIndex);
  std::sort(Indexes.begin(), Indexes.end(), std::greater<>());
  return Indexes[quorumOf(Indexes.size()) - 1];
}

bool LeaseTracker::isCommitted(LogPosition Position) const {
  return Position.WrittenIn == Opts.Current && Position.Index <= commitIndex();
}

} // namespace cicadawind
