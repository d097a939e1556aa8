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
/// \brief What a database group offers: connections and control of its
/// instances' roles. Replacing this adapter touches no policy.
///
/// Addresses are "ip:port". Control calls are idempotent.
class DatabaseGroup {
public:
  virtual ~DatabaseGroup() = default;

  /// Opens a connection; Unreachable or Overloaded when that failed.
  virtual boost::asio::awaitable<Result<std::unique_ptr<TargetConnection>>>
  open(std::string Address, Duration Limit) = 0;

  /// Report of an instance, at once or, with a positive \p Wait, when its
  /// received index exceeds \p After or \p Wait has passed.
  virtual boost::asio::awaitable<Result<InstanceReport>>
  report(std::string Address, LogIndex After, Duration Wait,
         Duration Limit) = 0;

  /// Makes the instance promise \p NewTerm: it stops replicating, serves no
  /// lower term and reports its log.
  virtual boost::asio::awaitable<Result<InstanceReport>>
  fence(std::string Address, Term NewTerm, Duration Limit) = 0;

  /// Opens the instance as primary of \p NewTerm.
  virtual boost::asio::awaitable<Result<InstanceReport>>
  promote(std::string Address, Term NewTerm, Duration Limit) = 0;

  /// Makes the instance replicate term \p NewTerm from \p Primary at
  /// \p PrimaryAddress, after discarding its log beyond \p LastIndex.
  virtual boost::asio::awaitable<Result<InstanceReport>>
  follow(std::string Address, Term NewTerm, std::string Primary,
         std::string PrimaryAddress, LogIndex LastIndex, Duration Limit) = 0;
};

} // namespace cicadawind

#endif
