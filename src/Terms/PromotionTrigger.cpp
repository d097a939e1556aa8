#include "Terms/PromotionTrigger.h"

namespace cicadawind {

void PromotionTrigger::add(const InstanceReport &Report, TimePoint Now) {
  ReplicaReports[Report.Instance] =
      ReplicaReport{.ReceivedAt = Now,
                    .SincePrimaryContact = Report.SincePrimaryContact,
                    .ReplicatesFrom = Report.ReplicatesFrom};
}

void PromotionTrigger::observe(const TermRecord &, std::uint64_t Version,
                               TimePoint Now) {
  if (Version == SeenVersion)
    return;
  SeenVersion = Version;
  SeenSince = Now;
}

bool PromotionTrigger::shouldPromote(const TermRecord &Record,
                                     TimePoint Now) const {
  if (!Record.isOpen())
    return Now - SeenSince >= Opts.ClaimTimeout + Opts.RankDelay;
  // A primary that was named only recently may still be about to serve.
  if (Now - SeenSince < Opts.ClaimTimeout)
    return false;
  return isPrimaryUnresponsive(Record, Now);
}

bool PromotionTrigger::isPrimaryUnresponsive(const TermRecord &Record,
                                             TimePoint Now) const {
  std::size_t Unresponsive = 0;
  for (const std::string &Member : Record.Members) {
    auto It = ReplicaReports.find(Member);
    if (Member == Record.Primary || It == ReplicaReports.end())
      continue;
    const ReplicaReport &Report = It->second;
    if (Now - Report.ReceivedAt > Opts.MaxReportAge)
      continue;
    if (Report.ReplicatesFrom != Record.Primary || !Report.SincePrimaryContact)
      continue;
    if (*Report.SincePrimaryContact < Opts.SuspectAfter + Opts.RankDelay)
      return false;
    ++Unresponsive;
  }
  return Unresponsive >= quorumOf(Record.Members.size());
}

} // namespace cicadawind
