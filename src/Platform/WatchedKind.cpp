#include "Platform/WatchedKind.h"

#include "Platform/StoreRevision.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cicadawind {

WatchedKind::WatchedKind(Options NewOpts)
    : Opts(NewOpts), Backoff(NewOpts.InitialBackoff) {
  assert(Opts.InitialBackoff <= Opts.MaxBackoff && "backoff must not decrease");
}

WatchedKind::Call WatchedKind::nextCall() const {
  if (!IsListed)
    return {
        .Kind = Operation::List, .Delay = Delay, .Timeout = Opts.ListTimeout};
  Duration Wait = HasFailed ? Opts.ProbeWait : Opts.Times.Wait;
  return {.Kind = Operation::Watch,
          .Delay = Delay,
          .Since = Revision,
          .Wait = Wait,
          .Timeout = Wait + Opts.WatchSlack};
}

void WatchedKind::recordList(ObjectsByName Listed, std::uint64_t NewRevision) {
  Objects = std::move(Listed);
  Revision = NewRevision;
  IsListed = true;
  HasFailed = false;
  Delay = Duration::zero();
  Backoff = Opts.InitialBackoff;
}

bool WatchedKind::recordChanges(std::vector<ObjectChange> Changes,
                                std::uint64_t NewRevision) {
  assert(IsListed && "changes apply to a list");
  if (StoreRevision::unpack(NewRevision).Era !=
      StoreRevision::unpack(Revision).Era) {
    recordGap();
    return false;
  }
  for (ObjectChange &Each : Changes)
    if (Each.Removed)
      Objects.erase(Each.Name);
    else
      Objects[Each.Name] = std::move(Each.Object);
  Revision = NewRevision;
  HasFailed = false;
  Delay = Changes.empty() ? Duration::zero() : Opts.Times.MinInterval;
  Backoff = Opts.InitialBackoff;
  return !Changes.empty();
}

void WatchedKind::recordFailure() {
  HasFailed = true;
  Delay = Backoff;
  Backoff = std::min(2 * Backoff, Opts.MaxBackoff);
}

void WatchedKind::recordGap() {
  IsListed = false;
  Delay = Duration::zero();
}

} // namespace cicadawind
