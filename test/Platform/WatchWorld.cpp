#include "Platform/WatchWorld.h"

#include "Platform/StoreRevision.h"

#include <string>
#include <utility>

namespace cicadawind::test {

/// Time between the start of a call and its response.
constexpr Duration Latency = std::chrono::milliseconds(10);
static const char *const ObjectName = "main";

void WatchWorld::change() {
  if (IsDown)
    return;
  write();
  Confirmations.push_back({.Number = Number, .At = Now});
}

void WatchWorld::changeOther() {
  ++Revision;
  keepSnapshot();
}

void WatchWorld::write() {
  ++Number;
  NumberRevision = ++Revision;
  History.push_back({.Revision = Revision, .Number = Number});
  keepSnapshot();
}

void WatchWorld::keepSnapshot() {
  Snapshots.push_back({.At = Now,
                       .Revision = Revision,
                       .Number = Number,
                       .NumberRevision = NumberRevision});
}

std::uint64_t WatchWorld::revision() const {
  return StoreRevision{.Era = Era, .Number = Revision}.pack();
}

void WatchWorld::restore(Duration Age) {
  ++Era;
  std::uint64_t LastNumber = Number;
  while (Snapshots.size() > 1 && Snapshots.back().At > Now - Age)
    Snapshots.pop_back();
  if (!Snapshots.empty()) {
    Revision = Snapshots.back().Revision;
    Number = Snapshots.back().Number;
    NumberRevision = Snapshots.back().NumberRevision;
  }
  std::erase_if(History,
                [&](const Event &Each) { return Each.Revision > Revision; });
  while (Number < LastNumber)
    write();
  DisturbedAt = Now;
}

void WatchWorld::silenceConnection() {
  IsConnectionSilent = IsConnected;
  DisturbedAt = Now;
}

void WatchWorld::endOutage() {
  if (!std::exchange(IsDown, false))
    return;
  DisturbedAt = Now;
}

void WatchWorld::dropHistory() {
  History.clear();
  OldestKept = Revision + 1;
  DisturbedAt = Now;
}

void WatchWorld::step(Duration Length) {
  Now += Length;
  if (!Running && Now >= NextCallAt)
    startCall();
  if (Running)
    finishCall();
}

void WatchWorld::startCall() {
  Running = RunningCall{.Request = Copy.nextCall(), .StartedAt = Now};
  IsConnected = true;
  ++Calls;
}

void WatchWorld::finishCall() {
  Duration Elapsed = Now - Running->StartedAt;
  if (IsConnectionSilent) {
    if (Elapsed >= Running->Request.Timeout)
      fail();
    return;
  }
  if (IsDown) {
    fail();
    return;
  }
  if (Elapsed < Latency)
    return;
  if (Running->Request.Kind == WatchedKind::Operation::List)
    finishList();
  else
    finishWatch();
  if (!Running)
    NextCallAt = Now + Copy.nextCall().Delay;
}

void WatchWorld::fail() {
  Copy.recordFailure();
  Running.reset();
  // The client closes a connection whose call has failed.
  IsConnected = false;
  IsConnectionSilent = false;
  NextCallAt = Now + Copy.nextCall().Delay;
}

void WatchWorld::finishList() {
  ObjectsByName Objects;
  if (Number != 0)
    Objects[ObjectName] = {.Value = std::to_string(Number),
                           .Version = NumberRevision};
  Copy.recordList(std::move(Objects), revision());
  Running.reset();
}

void WatchWorld::finishWatch() {
  const WatchedKind::Call &Request = Running->Request;
  std::uint64_t Since = StoreRevision::unpack(Request.Since).Number;
  if (Since > Revision || Since + 1 < OldestKept) {
    Copy.recordGap();
    Running.reset();
    return;
  }
  std::vector<ObjectChange> Changes;
  for (const Event &Each : History)
    if (Each.Revision > Since)
      Changes.push_back({.Name = ObjectName,
                         .Object = {.Value = std::to_string(Each.Number),
                                    .Version = Each.Revision}});
  if (Changes.empty() && Now - Running->StartedAt < Request.Wait)
    return;
  Copy.recordChanges(std::move(Changes), revision());
  Running.reset();
}

std::uint64_t WatchWorld::seen() const {
  auto It = Copy.objects().find(ObjectName);
  return It == Copy.objects().end() ? 0 : std::stoull(It->second.Value);
}

std::uint64_t WatchWorld::confirmed(Duration Age) const {
  std::uint64_t Out = 0;
  for (const Confirmation &Each : Confirmations)
    if (Now - Each.At >= Age)
      Out = Each.Number;
  return Out;
}

Duration WatchWorld::calmFor() const {
  return IsDown ? Duration::zero() : Now - DisturbedAt;
}

} // namespace cicadawind::test
