#ifndef CICADAWIND_PLATFORM_OBJECTWATCHER_H
#define CICADAWIND_PLATFORM_OBJECTWATCHER_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Platform/StoredObject.h"
#include "Platform/WatchTimes.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace cicadawind {

/// \class ObjectWatcher
/// \brief Watches all objects of a kind in the platform's store.
///
/// Hooks run on the thread of the event loop. While the store is unreachable,
/// only the reachability hook is called; the objects that were reported last
/// stay valid.
class ObjectWatcher {
public:
  /// Called after each listing of the kind and after each change, with all
  /// objects of the kind and the store's revision at which they were read,
  /// packed as in StoreRevision.
  using ChangeHook =
      std::function<void(const ObjectsByName &, std::uint64_t Revision)>;
  /// Called when the store has answered that the objects that were reported
  /// last are still current; may be empty.
  using CurrentHook = std::function<void()>;
  /// Called whenever the store becomes reachable or unreachable.
  using ReachabilityHook = std::function<void(bool Reachable)>;

  virtual ~ObjectWatcher() = default;

  /// Reads all objects of \p Kind.
  virtual boost::asio::awaitable<Result<ObjectsByName>>
  listAll(std::string Kind) = 0;

  /// Starts to watch \p Kind.
  virtual void watchKind(std::string Kind, WatchTimes Times,
                         ChangeHook OnChange,
                         ReachabilityHook OnReachabilityChange,
                         CurrentHook OnCurrent = nullptr) = 0;

  /// Suspends or resumes all watches. They run unless they are suspended. A
  /// call in progress completes and is still reported. A watch that resumes
  /// lists its kind again. While watches are suspended, the store counts as
  /// reachable.
  virtual void setWatching(bool Enabled) = 0;
};

} // namespace cicadawind

#endif
