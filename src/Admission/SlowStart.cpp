#include "Admission/SlowStart.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cicadawind {
namespace internal {

static Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(Time * Factor);
}

/// Part of the first pace below which nothing lowers the pace, so that replies
/// can raise it again.
constexpr double LeastPartOfFirstPace = 0.25;
/// Factor by which a reply without a wait for a slot raises a pace below one.
constexpr double UnqueuedFactor = 4;

} // namespace internal

double SlowStart::slotsPerVm() const {
  return static_cast<double>(std::max(1U, Users.Slots)) /
         std::max(1U, Users.Vms);
}

double SlowStart::leastPace() const {
  return internal::LeastPartOfFirstPace * firstPace();
}

double SlowStart::fullPace() const {
  return std::max(1.0, Opts.FullShare * slotsPerVm());
}

Duration SlowStart::pauseAfter(Duration ReplyTime) const {
  if (Pace >= 1)
    return Duration::zero();
  return internal::scaled(std::min(ReplyTime, Opts.FirstReplyTime),
                          1 / Pace - 1);
}

void SlowStart::begin(Usage NewUsage, std::optional<Duration> Hint, double Unit,
                      TimePoint Now) {
  assert(Unit >= 0 && Unit < 1 && "the random number must be in [0, 1)");
  // What was usual during a slow start that has not ended says nothing about
  // the settled target.
  if (!isActive())
    Before = Usual;
  Users = NewUsage;
  Current = State::Active;
  FirstShare = Hint ? Opts.AnnouncedFirstShare : Opts.FirstShare;
  Pace = firstPace();
  Begun = Now;
  RaisedFrom = Now + Opts.DoubtTime;
  Duration Hinted =
      std::min(Hint.value_or(Duration::zero()), Opts.MaxHintedDuration);
  EndsAt = Now + std::max(Opts.MaxDuration, Hinted);
  Usual.reset();
  NextStart = Now + internal::scaled(pauseAfter(Opts.FirstReplyTime), Unit);
}

bool SlowStart::allows(std::size_t Running, TimePoint Now) const {
  if (!isActive() || Now >= EndsAt)
    return true;
  double Current = paceAt(Now);
  if (Current < 1)
    return Running == 0 && Now >= NextStart;
  return static_cast<double>(Running) < Current;
}

bool SlowStart::allowsWithoutAlternative(std::size_t Running,
                                         TimePoint Now) const {
  return Running == 0 || allows(Running, Now);
}

double SlowStart::paceAt(TimePoint Now) const {
  if (Now <= RaisedFrom)
    return Pace;
  double Doublings =
      std::chrono::duration<double>(Now - RaisedFrom) / Opts.DoublingTime;
  return std::min(Pace * std::exp2(Doublings), std::max(Pace, fullPace()));
}

void SlowStart::addTime(TimePoint Now) {
  Pace = paceAt(Now);
  RaisedFrom = std::max(RaisedFrom, Now);
}

void SlowStart::updateUsual(Duration ReplyTime) {
  Duration Last = Usual.value_or(ReplyTime);
  double Weight = ReplyTime < Last ? Opts.QuickerWeight : Opts.SlowerWeight;
  Usual = Last + internal::scaled(ReplyTime - Last, Weight);
}

Duration SlowStart::reference(std::optional<Duration> PeerTime,
                              TimePoint Now) const {
  std::optional<Duration> Settled = Before;
  if (PeerTime)
    Settled = std::max(Settled.value_or(*PeerTime), *PeerTime);
  // A target that stays slower than others is used for what it can do.
  bool AcceptsOwn = !Settled || Now - Begun >= Opts.SettleTime;
  if (AcceptsOwn && Usual)
    Settled = std::max(Settled.value_or(*Usual), *Usual);
  return Settled.value_or(Opts.FirstReplyTime);
}

void SlowStart::adaptTo(Duration ReplyTime, Duration Reference, TimePoint Now) {
  Duration Beyond = ReplyTime - Opts.ReplyTimeMargin;
  bool IsQuick = Beyond <= internal::scaled(Reference, Opts.QuickRatio);
  RaisedFrom = IsQuick ? Now : Now + Opts.DoubtTime;
  // A pace below one gets few replies, so it rises faster if they show no queue
  // at the target.
  if (Pace < 1 && ReplyTime <= Reference)
    Pace = std::min(1.0, internal::UnqueuedFactor * Pace);
  else if (IsQuick)
    Pace = std::min(2 * Pace, Pace + 1);
  else if (Beyond > internal::scaled(Reference, Opts.SlowRatio))
    Pace = std::max(Pace * Opts.SlowFactor, std::min(Pace, leastPace()));
  if (Pace >= fullPace())
    Current = State::Settled;
}

void SlowStart::recordServed(Duration ReplyTime,
                             std::optional<Duration> PeerTime, TimePoint Now) {
  updateUsual(ReplyTime);
  expire(Now);
  if (!isActive())
    return;
  addTime(Now);
  adaptTo(ReplyTime, reference(PeerTime, Now), Now);
  NextStart = Now + pauseAfter(ReplyTime);
}

void SlowStart::recordRefused(TimePoint Now) {
  expire(Now);
  if (!isActive())
    return;
  addTime(Now);
  RaisedFrom = Now + Opts.DoubtTime;
  Pace = std::max(Pace * Opts.RefusedFactor, std::min(Pace, leastPace()));
  NextStart = Now + pauseAfter(Usual.value_or(Opts.FirstReplyTime));
}

void SlowStart::recordFailed(TimePoint Now) {
  expire(Now);
  if (!isActive())
    return;
  RaisedFrom = Now + Opts.DoubtTime;
  Pace = std::min(Pace, firstPace());
  NextStart = Now + pauseAfter(Usual.value_or(Opts.FirstReplyTime));
}

void SlowStart::expire(TimePoint Now) {
  if (isActive() && Now >= EndsAt)
    Current = State::TimedOut;
}

} // namespace cicadawind
