#ifndef CICADAWIND_TARGETS_HTTPDATABASEGROUP_H
#define CICADAWIND_TARGETS_HTTPDATABASEGROUP_H

#include "Targets/DatabaseGroup.h"

#include <string>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

class HttpClient;

/// \class HttpDatabaseGroup
/// \brief DatabaseGroup over HTTP and JSON, as docs/TARGETS.md describes.
///
/// A connection to a target is one TCP connection. Control requests share the
/// persistent connections of the HTTP client, which do not count against a
/// target's connection limit.
class HttpDatabaseGroup : public DatabaseGroup {
public:
  HttpDatabaseGroup(boost::asio::io_context &Loop, HttpClient &Http);

  boost::asio::awaitable<Result<std::unique_ptr<TargetConnection>>>
  open(std::string Address, Duration Timeout) override;
  boost::asio::awaitable<Result<InstanceReport>>
  report(std::string Address, LogIndex After, Duration Wait,
         Duration Timeout) override;
  boost::asio::awaitable<Result<InstanceReport>>
  fence(std::string Address, Term NewTerm, Duration Timeout) override;
  boost::asio::awaitable<Result<InstanceReport>>
  promote(std::string Address, Term NewTerm, Duration Timeout) override;
  boost::asio::awaitable<Result<InstanceReport>>
  follow(std::string Address, Term NewTerm, std::string Primary,
         std::string PrimaryAddress, LogIndex LastIndex,
         Duration Timeout) override;

private:
  boost::asio::awaitable<Result<InstanceReport>>
  sendControlRequest(std::string Address, std::string Path, std::string Body,
                     Duration Timeout);

  boost::asio::io_context &Loop;
  HttpClient &Http;
};

} // namespace cicadawind

#endif
