#ifndef CICADAWIND_PLATFORM_WATCHTIMES_H
#define CICADAWIND_PLATFORM_WATCHTIMES_H

#include "Core/Clock.h"

namespace cicadawind {

/// \class WatchTimes
/// \brief Times that trade calls to the store for a newer copy of a kind.
struct WatchTimes {
  /// Minimum time between a reported change and the next watch. Changes that
  /// follow one another sooner are reported together.
  Duration MinInterval = Duration::zero();
  /// Longest time that the store holds a watch without a change. A watch on a
  /// connection that has gone silent is noticed that long after its start, plus
  /// WatchedKind::Options::WatchSlack.
  Duration Wait = std::chrono::seconds(2);
};

/// Times for the configuration. The first VM that notices a dead connection
/// tells the others, so Wait is most of the time between the confirmation of a
/// change and its use everywhere if all connections are dead.
constexpr WatchTimes ConfigWatchTimes{.MinInterval =
                                          std::chrono::milliseconds(300),
                                      .Wait = std::chrono::milliseconds(800)};

/// Times for the entries of targets. The targets of a fleet register one by
/// one and each call to the store is charged for. The delay does no harm,
/// because a change of a known target's state is seen in its replies before it
/// is seen in its entry.
constexpr WatchTimes TargetsWatchTimes{.MinInterval = std::chrono::seconds(1)};

} // namespace cicadawind

#endif
