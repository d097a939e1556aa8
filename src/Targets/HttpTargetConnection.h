#ifndef CICADAWIND_TARGETS_HTTPTARGETCONNECTION_H
#define CICADAWIND_TARGETS_HTTPTARGETCONNECTION_H

#include "Http/HttpConnection.h"
#include "Targets/TargetConnection.h"

#include <nlohmann/json_fwd.hpp>

namespace cicadawind {

/// \class HttpTargetConnection
/// \brief TargetConnection over one HTTP/1.1 connection.
class HttpTargetConnection : public TargetConnection {
public:
  HttpTargetConnection(boost::asio::io_context &Loop, std::string Address);

  /// Connects and waits until the target has admitted the connection. Returns
  /// Unreachable or Overloaded, both with verdict NotRun, if that fails.
  boost::asio::awaitable<Status> open(Duration Timeout);

  boost::asio::awaitable<Result<StatementReply>>
  execute(StatementCall Call, Duration Timeout) override;
  boost::asio::awaitable<Status> begin(std::string Id, Term ExpectedTerm,
                                       Duration Timeout) override;
  boost::asio::awaitable<Result<StatementReply>>
  commit(std::string Id, std::string IdempotencyKey, Duration Timeout) override;
  boost::asio::awaitable<Status> reset(std::string Id,
                                       Duration Timeout) override;
  bool isOpen() const override { return Link.isOpen(); }
  void close() override { Link.close(); }

private:
  boost::asio::awaitable<Result<nlohmann::json>>
  call(std::string Path, std::string Id, nlohmann::json Body, Duration Timeout);

  HttpConnection Link;
};

} // namespace cicadawind

#endif
