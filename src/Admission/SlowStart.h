#ifndef CICADAWIND_ADMISSION_SLOWSTART_H
#define CICADAWIND_ADMISSION_SLOWSTART_H

#include "Core/Clock.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace cicadawind {

/// \class SlowStart
/// \brief Finds, from the replies, how many statements one VM may run at a
/// target that has just started or recovered.
///
/// The pace is the number of statements that this VM runs there on average at
/// the same time. All VMs together begin with Options::FirstShare of the
/// target's slots, so the pace of one VM may be below one: after a reply that
/// took X, it then waits X * (1 / pace - 1), and its first statement is sent at
/// a random time. Each reply that is about as quick as those of the target's
/// peers, or as those of the target itself before, raises the pace, to
/// four times the pace at most; a refusal halves it. Time raises it as well
/// while nothing speaks against that. The slow start ends when
/// all VMs together could fill the target several times and its replies are
/// still quick, and after a time in any case. Afterwards this class limits
/// nothing. Each operation costs O(1). A value type.
///
/// Invariant: while active, the pace is positive and finite.
class SlowStart {
public:
  struct Options {
    /// Part of the target's slots that all VMs together use at first.
    double FirstShare = 0.5;
    /// The same for a target that has said that it is slow.
    double AnnouncedFirstShare = 0.25;
    /// Multiple of the target's slots that all VMs together may use when the
    /// slow start ends.
    double FullShare = 4;
    /// A reply is quick if it takes at most QuickRatio times the reference and
    /// ReplyTimeMargin; slow if it takes more than SlowRatio times the
    /// reference and ReplyTimeMargin.
    double QuickRatio = 2;
    double SlowRatio = 6;
    Duration ReplyTimeMargin = std::chrono::milliseconds(10);
    /// Factors by which a refusal and a slow reply change the pace.
    double RefusedFactor = 0.5;
    double SlowFactor = 0.8;
    /// Assumed reply time while none is known, and the greatest reply time that
    /// counts for the length of a pause, so that pauses do not outlast the
    /// warm-up by much.
    Duration FirstReplyTime = std::chrono::milliseconds(50);
    /// Time that a statement waits for another target, and at most half of the
    /// time that it may wait, before it is taken for one that no other target
    /// can serve now.
    Duration Patience = std::chrono::milliseconds(20);
    /// Time in which the pace doubles while no reply speaks against it, so that
    /// a VM that sends the target little does not limit itself for long.
    Duration DoublingTime = std::chrono::seconds(1);
    /// Time for which the start, a reply that is not quick, a refusal or a
    /// failure speaks against a higher pace.
    Duration DoubtTime = std::chrono::seconds(4);
    /// Time after which the target's quickest replies since its start are
    /// accepted as a reference, although its peers are quicker.
    Duration SettleTime = std::chrono::seconds(5);
    /// Time after which a slow start ends in any case, unless the target has
    /// said that it needs longer.
    Duration MaxDuration = std::chrono::seconds(10);
    /// The same for a target that has said that it needs longer.
    Duration MaxHintedDuration = std::chrono::seconds(30);
    /// Weights of a reply that is quicker or slower than the usual reply time.
    /// The usual reply time rises slowly, so that it shows how long replies
    /// take without load.
    double QuickerWeight = 0.2;
    double SlowerWeight = 0.02;
  };
  /// The target and those who use it.
  struct Usage {
    /// Statements that the target runs at the same time.
    unsigned Slots = 1;
    /// VMs that send it statements, this one included.
    unsigned Vms = 1;
  };
  enum class State {
    Inactive,
    Active,
    /// Ended because the replies allowed the full pace.
    Settled,
    /// Ended because of its greatest duration.
    TimedOut,
  };

  SlowStart() = default;
  explicit SlowStart(Options Opts) : Opts(Opts) {}

  /// Begins a slow start, or begins the current one anew. \p Hint is the time
  /// that the target says to need; empty if it said nothing. \p Unit in [0, 1)
  /// is random.
  void begin(Usage NewUsage, std::optional<Duration> Hint, double Unit,
             TimePoint Now);
  /// Applies a change of the number of VMs or slots.
  void setUsage(Usage NewUsage) { Users = NewUsage; }

  /// Returns whether one more statement may be sent while \p Running statements
  /// of this VM run at the target and another target may serve it.
  bool allows(std::size_t Running, TimePoint Now) const;
  /// Likewise for a statement that no other target can serve. At least one such
  /// statement may always run.
  bool allowsWithoutAlternative(std::size_t Running, TimePoint Now) const;
  /// Returns whether a statement that has waited for \p Waited and may wait for
  /// \p MaxWait is taken for one that no other target can serve now.
  bool isOverdue(Duration Waited, Duration MaxWait) const {
    return Waited >= std::min(Opts.Patience, MaxWait / 2);
  }

  /// Records that the target served a statement within \p ReplyTime.
  /// \p PeerTime is the usual reply time of the target's peers; empty if it
  /// has none.
  void recordServed(Duration ReplyTime, std::optional<Duration> PeerTime,
                    TimePoint Now);
  /// Records that the target refused a statement because of overload.
  void recordRefused(TimePoint Now);
  /// Records that a statement failed or was not answered in time.
  void recordFailed(TimePoint Now);
  /// Ends the slow start if its greatest duration has passed.
  void expire(TimePoint Now);

  State state() const { return Current; }
  bool isActive() const { return Current == State::Active; }
  /// Returns the number of statements that this VM may run on average.
  double pace() const { return Pace; }
  /// Returns the usual reply time; empty before the first reply.
  std::optional<Duration> usualReplyTime() const { return Usual; }

private:
  double slotsPerVm() const;
  double firstPace() const { return FirstShare * slotsPerVm(); }
  double leastPace() const;
  double fullPace() const;
  /// Returns the time that a pace below one waits after a reply that took
  /// \p ReplyTime.
  Duration pauseAfter(Duration ReplyTime) const;
  /// Returns the reply time that replies are compared with.
  Duration reference(std::optional<Duration> PeerTime, TimePoint Now) const;
  /// Returns the pace at \p Now, with what time has added to it.
  double paceAt(TimePoint Now) const;
  /// Raises the pace by what time has added to it.
  void addTime(TimePoint Now);
  void updateUsual(Duration ReplyTime);
  void adaptTo(Duration ReplyTime, Duration Reference, TimePoint Now);

  Options Opts;
  Usage Users;
  State Current = State::Inactive;
  /// Part of the slots at which the slow start began.
  double FirstShare = 1;
  double Pace = 1;
  TimePoint Begun;
  TimePoint EndsAt;
  /// Time from which the pace doubles every Options::DoublingTime.
  TimePoint RaisedFrom;
  /// Time before which a pace below one sends no statement.
  TimePoint NextStart;
  /// Usual reply time, since the slow start if there was one.
  std::optional<Duration> Usual;
  /// Usual reply time before the slow start, if the target had settled then.
  std::optional<Duration> Before;
};

} // namespace cicadawind

#endif
