#ifndef CICADAWIND_PLATFORM_OBJECTSTORE_H
#define CICADAWIND_PLATFORM_OBJECTSTORE_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Platform/StoredObject.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace cicadawind {

/// Outcome of a conditional update.
enum class WriteOutcome {
  /// The update took effect.
  Accepted,
  /// The stored version differs from the expected one; nothing changed.
  Conflict,
  /// No response arrived, or it does not tell the outcome; the update may have
  /// taken effect or may still do so.
  Unknown,
  /// The update was refused or never sent; nothing changed.
  NotWritten,
};

/// Result of a conditional update.
struct WriteResult {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  /// Version of the object after an accepted update; 0 otherwise.
  std::uint64_t Version = 0;
  std::string Message = {};
};

/// \class ObjectStore
/// \brief Interface to the platform's object API: versioned objects,
/// conditional updates and watches.
///
/// Each call sends at least one request to the platform and counts against the
/// platform's rate limits.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// Reads an object within \p Timeout. Returns version 0 if the object does
  /// not exist, and StoreUnavailable if the store cannot be reached.
  virtual boost::asio::awaitable<Result<StoredObject>>
  read(std::string Kind, std::string Name, Duration Timeout) = 0;

  /// Waits up to \p Wait for a version other than \p KnownVersion, then returns
  /// the object as it is.
  virtual boost::asio::awaitable<Result<StoredObject>>
  watch(std::string Kind, std::string Name, std::uint64_t KnownVersion,
        Duration Wait) = 0;

  /// Writes \p Value if the stored version is \p Expected; creates the object
  /// if \p Expected is 0.
  virtual boost::asio::awaitable<WriteResult>
  write(std::string Kind, std::string Name, std::string Value,
        std::uint64_t Expected, Duration Timeout) = 0;

  /// Removes the object if the stored version is \p Expected. Conflict if it
  /// has another version or does not exist. The version of the result is 0.
  virtual boost::asio::awaitable<WriteResult> remove(std::string Kind,
                                                     std::string Name,
                                                     std::uint64_t Expected,
                                                     Duration Timeout) = 0;
};

} // namespace cicadawind

#endif
