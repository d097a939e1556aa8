#ifndef CICADAWIND_PLATFORM_STOREDOBJECT_H
#define CICADAWIND_PLATFORM_STOREDOBJECT_H

#include <cstdint>
#include <map>
#include <string>

namespace cicadawind {

/// \class StoredObject
/// \brief A value of the platform's object API and its version.
///
/// Version 0 stands for an object that does not exist.
struct StoredObject {
  std::string Value;
  std::uint64_t Version = 0;

  bool exists() const { return Version != 0; }
};

/// Objects of one kind by name.
using ObjectsByName = std::map<std::string, StoredObject>;

} // namespace cicadawind

#endif
