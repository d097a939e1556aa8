#ifndef CICADAWIND_PLATFORM_OBJECTCHANGE_H
#define CICADAWIND_PLATFORM_OBJECTCHANGE_H

#include "Platform/StoredObject.h"

#include <string>

namespace cicadawind {

/// \class ObjectChange
/// \brief A change of one object that a watch has reported.
struct ObjectChange {
  std::string Name;
  /// The object after the change, or before it if Removed.
  StoredObject Object;
  bool Removed = false;
};

} // namespace cicadawind

#endif
