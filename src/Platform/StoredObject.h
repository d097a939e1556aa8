#ifndef CICADAWIND_PLATFORM_STOREDOBJECT_H
#define CICADAWIND_PLATFORM_STOREDOBJECT_H

#include <cstdint>
#include <map>
#include <string>

namespace cicadawind {

/// \class StoredObject
/// \brief Value and version of an object in the platform's store.
///
/// The version is 0 if the object does not exist, and packed as in
/// StoreRevision otherwise.
struct StoredObject {
  std::string Value;
  std::uint64_t Version = 0;

  bool exists() const { return Version != 0; }
};

/// Objects of one kind by name.
using ObjectsByName = std::map<std::string, StoredObject>;

} // namespace cicadawind

#endif
