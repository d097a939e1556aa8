#ifndef CICADAWIND_RELAYS_RELAYSERVICE_H
#define CICADAWIND_RELAYS_RELAYSERVICE_H

#include "Net/TcpListener.h"
#include "Relays/RelaySession.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace cicadawind {

/// \class RelayService
/// \brief Accepts the links of other VMs whose statements this VM relays to
/// targets.
///
/// Creates a RelaySession for each link. Runs on the loop's thread.
class RelayService {
public:
  struct Options {
    std::string Address;
    std::uint16_t Port = 0;
    /// Number of simultaneous links from other VMs; further ones are closed.
    /// Each of a few hundred VMs opens several for each target that this VM
    /// relays to.
    std::size_t MaxSessions = 2000;
    RelaySession::Host Host;
  };

  RelayService(boost::asio::io_context &Loop, Options Opts);
  ~RelayService();
  RelayService(const RelayService &) = delete;
  RelayService &operator=(const RelayService &) = delete;

  /// Starts to listen. Throws if the port is in use; may be called again then.
  void start();
  std::uint16_t port() const { return Listener.port(); }
  std::size_t sessions() const { return Sessions.size(); }
  /// Returns the number of sessions for which RelaySession::isBusy() holds.
  std::size_t busySessions() const;

private:
  void accept(boost::asio::ip::tcp::socket Socket);

  Options Opts;
  std::shared_ptr<RelaySession::Host> Host;
  std::set<std::shared_ptr<RelaySession>> Sessions;
  TcpListener Listener;
  /// False once the service is destroyed; shared with pending handlers.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cicadawind

#endif
