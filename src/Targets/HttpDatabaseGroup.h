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
/// A connection to a target is one TCP connection; control calls share the
/// client's kept connections, which targets do not count.
class HttpDatabaseGroup : public DatabaseGroup {
public:
  HttpDatabaseGroup(boost::asio::io_context &Loop, HttpClient &Http);

  boost::asio::awaitable<Result<std::unique_ptr<TargetConnection>>>
  open(std::string Address, Duration Limit) override;
  boost::asio::awaitable<Result<InstanceReport>>
  report(std::string Address, LogIndex After, Duration Wait,
         Duration Limit) override;
  boost::asio::awaitable<Result<InstanceReport>>
  fence(std::string Address, Term NewTerm, Duration Limit) override;
  boost::asio::awaitable<Result<InstanceReport>>
  promote(std::string Address, Term NewTerm, Duration Limit) override;
  boost::asio::awaitable<Result<InstanceReport>>
  follow(std::string Address, Term NewTerm, std::string Primary,
         std::string PrimaryAddress, LogIndex LastIndex,
         Duration Limit) override;

private:
  boost::asio::awaitable<Result<InstanceReport>> control(std::string Address,
                                                         std::string Path,
                                                         std::string Body,
                                                         Duration Limit);

  boost::asio::io_context &Loop;
  HttpClient &Http;
};

} // namespace cicadawind

#endif
