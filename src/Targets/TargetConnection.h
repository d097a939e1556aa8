#ifndef CICADAWIND_TARGETS_TARGETCONNECTION_H
#define CICADAWIND_TARGETS_TARGETCONNECTION_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "Targets/StatementCall.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace cicadawind {

/// \class TargetConnection
/// \brief A database connection, which serves one call at a time.
///
/// The connection is closed after any transport failure. Every error contains
/// the verdict of the call, that is, whether it may have run.
class TargetConnection {
public:
  virtual ~TargetConnection() = default;

  /// Runs a statement. Fails if the reply does not arrive within \p Timeout.
  virtual boost::asio::awaitable<Result<StatementReply>>
  execute(StatementCall Call, Duration Timeout) = 0;

  /// Begins a transaction in term \p ExpectedTerm.
  virtual boost::asio::awaitable<Status>
  begin(std::string Id, Term ExpectedTerm, Duration Timeout) = 0;
  /// Commits the open transaction. The target stores \p IdempotencyKey with it,
  /// unless the key is empty.
  virtual boost::asio::awaitable<Result<StatementReply>>
  commit(std::string Id, std::string IdempotencyKey, Duration Timeout) = 0;

  /// Rolls back and clears all state that belongs to the connection. Another
  /// caller may use the connection only after a successful reset.
  virtual boost::asio::awaitable<Status> reset(std::string Id,
                                               Duration Timeout) = 0;

  virtual bool isOpen() const = 0;
  virtual void close() = 0;
};

} // namespace cicadawind

#endif
