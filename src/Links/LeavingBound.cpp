#include "Links/LeavingBound.h"

namespace cicadawind {

bool LeavingBound::mayServe(const TargetEntry &Entry, TimePoint Now) const {
  if (!Entry.Leaving)
    return true;
  return Entry.LeavingSince &&
         Now - *Entry.LeavingSince < Opts.ServiceTime - Opts.SendMargin;
}

bool LeavingBound::mayLead(const TargetEntry &Entry, TimePoint Now) const {
  return mayServe(Entry, Now + Opts.LeadTime);
}

} // namespace cicadawind
