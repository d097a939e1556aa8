#ifndef CICADAWIND_PLATFORM_PLATFORMCLIENT_H
#define CICADAWIND_PLATFORM_PLATFORMCLIENT_H

#include "Platform/ObjectStore.h"
#include "Platform/VmList.h"

#include <string>

namespace cicadawind {

class HttpClient;

/// \class PlatformClient
/// \brief Accesses the platform's object API and VM list over HTTP and JSON.
///
/// Objects are read, written and removed by GET, PUT and DELETE
/// /v1/objects/KIND/NAME. PUT and DELETE have the query parameter "version"; a
/// watch is a GET with the parameters
/// "watch" and "wait_ms". The VM list is GET /v1/vms. A failed read returns
/// StoreUnavailable; a failed write returns a WriteOutcome that says whether
/// the update may have taken effect. Runs on the thread of the HttpClient's
/// event loop.
class PlatformClient : public ObjectStore, public VmList {
public:
  PlatformClient(HttpClient &Http, std::string Address);

  boost::asio::awaitable<Result<StoredObject>>
  read(std::string Kind, std::string Name, Duration Timeout) override;
  boost::asio::awaitable<Result<StoredObject>> watch(std::string Kind,
                                                     std::string Name,
                                                     std::uint64_t KnownVersion,
                                                     Duration Wait) override;
  boost::asio::awaitable<WriteResult> write(std::string Kind, std::string Name,
                                            std::string Value,
                                            std::uint64_t Expected,
                                            Duration Timeout) override;
  boost::asio::awaitable<WriteResult> remove(std::string Kind, std::string Name,
                                             std::uint64_t Expected,
                                             Duration Timeout) override;
  boost::asio::awaitable<Result<std::vector<VmEntry>>>
  list(Duration Timeout) override;

private:
  HttpClient &Http;
  std::string Address;
};

} // namespace cicadawind

#endif
