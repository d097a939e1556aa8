#ifndef CICADAWIND_TEST_PLATFORM_WATCHWORLD_H
#define CICADAWIND_TEST_PLATFORM_WATCHWORLD_H

#include "Platform/WatchedKind.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cicadawind::test {

/// \class WatchWorld
/// \brief One WatchedKind before a model of the store, in virtual time.
///
/// The kind holds one object, whose value is a number that the operator
/// increases. Changes of other kinds raise the revision, too. Events take
/// effect at the next step().
class WatchWorld {
public:
  explicit WatchWorld(WatchedKind::Options Opts) : Copy(Opts) {}

  /// The operator writes the next number, unless the store is down.
  void change();
  /// Another kind changes.
  void changeOther();
  /// The open connection goes silent; new ones work.
  void silenceConnection();
  /// The store breaks off its calls and refuses new ones.
  void beginOutage() { IsDown = true; }
  void endOutage();
  /// The store drops its history.
  void dropHistory();
  /// The store returns to its state of \p Age ago, and the operator writes
  /// again what was lost.
  void restore(Duration Age);

  /// Advances the time by \p Length.
  void step(Duration Length);

  TimePoint now() const { return Now; }
  /// Returns the number in the copy; 0 before the first list.
  std::uint64_t seen() const;
  /// Returns the largest number that was confirmed \p Age ago or earlier.
  std::uint64_t confirmed(Duration Age) const;
  /// Returns how long nothing has disturbed the store or a connection.
  Duration calmFor() const;
  std::uint64_t calls() const { return Calls; }

private:
  struct Event {
    std::uint64_t Revision = 0;
    std::uint64_t Number = 0;
  };
  /// State of the store since \c At.
  struct Snapshot {
    TimePoint At;
    std::uint64_t Revision = 0;
    std::uint64_t Number = 0;
    std::uint64_t NumberRevision = 0;
  };
  struct Confirmation {
    std::uint64_t Number = 0;
    TimePoint At;
  };
  struct RunningCall {
    WatchedKind::Call Request;
    TimePoint StartedAt;
  };

  /// Writes the next number.
  void write();
  void keepSnapshot();
  /// Returns the revision that responses name.
  std::uint64_t revision() const;
  /// Starts the call that is due.
  void startCall();
  /// Ends the running call if its outcome is known by now.
  void finishCall();
  void fail();
  void finishList();
  void finishWatch();

  WatchedKind Copy;
  TimePoint Now{std::chrono::seconds(1000)};
  std::optional<RunningCall> Running;
  TimePoint NextCallAt = Now;
  bool IsConnected = false;
  bool IsConnectionSilent = false;
  std::uint64_t Calls = 0;

  std::uint64_t Era = 1;
  std::uint64_t Revision = 100;
  std::uint64_t Number = 0;
  std::uint64_t NumberRevision = 0;
  std::vector<Event> History;
  std::vector<Snapshot> Snapshots;
  std::uint64_t OldestKept = 0;
  bool IsDown = false;
  std::vector<Confirmation> Confirmations;
  TimePoint DisturbedAt = Now;
};

} // namespace cicadawind::test

#endif
