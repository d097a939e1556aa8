#ifndef CICADAWIND_TARGETS_DATABASEGROUP_H
#define CICADAWIND_TARGETS_DATABASEGROUP_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Terms/InstanceReport.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace cicadawind {

class TargetConnection;

/// \class DatabaseGroup
/// \brief Interface to the instances of database groups: opens connections to
/// them and controls their roles.
///
/// One object serves the groups of all databases; each call names an instance
/// by its address "ip:port". Implementations contain no policy, so that one can
/// be replaced by another. Control requests are idempotent. Every call ends
/// after its timeout at the latest.
class DatabaseGroup {
public:
  virtual ~DatabaseGroup() = default;

  /// Opens a connection to the instance at \p Address. Returns Unreachable or
  /// Overloaded if that fails.
  virtual boost::asio::awaitable<Result<std::unique_ptr<TargetConnection>>>
  open(std::string Address, Duration Timeout) = 0;

  /// Returns a report of the instance, immediately if \p Wait is zero.
  /// Otherwise the instance reports when its received index exceeds \p After,
  /// when it promises a new term, or when \p Wait has passed.
  virtual boost::asio::awaitable<Result<InstanceReport>>
  report(std::string Address, LogIndex After, Duration Wait,
         Duration Timeout) = 0;

  /// Makes the instance promise \p NewTerm: it stops serving as primary or
  /// replica, refuses all lower terms and returns a report with the end of its
  /// log.
  virtual boost::asio::awaitable<Result<InstanceReport>>
  fence(std::string Address, Term NewTerm, Duration Timeout) = 0;

  /// Makes the instance the primary of \p NewTerm.
  virtual boost::asio::awaitable<Result<InstanceReport>>
  promote(std::string Address, Term NewTerm, Duration Timeout) = 0;

  /// Makes the instance discard its log beyond \p LastIndex and replicate
  /// \p NewTerm from \p Primary at \p PrimaryAddress.
  virtual boost::asio::awaitable<Result<InstanceReport>>
  follow(std::string Address, Term NewTerm, std::string Primary,
         std::string PrimaryAddress, LogIndex LastIndex, Duration Timeout) = 0;
};

} // namespace cicadawind

#endif
