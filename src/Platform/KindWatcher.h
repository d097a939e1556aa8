#ifndef CICADAWIND_PLATFORM_KINDWATCHER_H
#define CICADAWIND_PLATFORM_KINDWATCHER_H

#include "Platform/StoredObject.h"

#include <functional>
#include <map>
#include <string>

namespace cicadawind {

/// All objects of one kind by name.
using ObjectsByName = std::map<std::string, StoredObject>;

/// \class KindWatcher
/// \brief Follows all objects of a kind in the platform's store.
///
/// Hooks run on the loop's thread. While the store is away nothing is
/// reported but that, and what was last seen stays valid.
class KindWatcher {
public:
  /// Gets everything that the kind holds after each change.
  using ChangeHook = std::function<void(const ObjectsByName &)>;
  /// Gets whether the store answers, at each change of that.
  using ReachHook = std::function<void(bool Reachable)>;

  virtual ~KindWatcher() = default;

  virtual void follow(std::string Kind, ChangeHook OnChange,
                      ReachHook OnReach) = 0;
};

} // namespace cicadawind

#endif
