#ifndef CICADAWIND_PROXY_CARRIERSERVICE_H
#define CICADAWIND_PROXY_CARRIERSERVICE_H

#include "Proxy/CarriedSession.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace cicadawind {

/// \class CarrierService
/// \brief Listens for other VMs whose statements to targets this VM carries.
class CarrierService {
public:
  struct Options {
    std::string Address;
    std::uint16_t Port = 0;
    /// Links of other VMs at once. Each of a few hundred VMs holds several to
    /// each target that this one carries to.
    std::size_t MaxSessions = 2000;
    CarriedSession::Host Host;
  };

  CarrierService(boost::asio::io_context &Loop, Options Opts);
  ~CarrierService();
  CarrierService(const CarrierService &) = delete;
  CarrierService &operator=(const CarrierService &) = delete;

  /// Listens; throws when the port is taken.
  void start();
  std::uint16_t port() const;
  std::size_t sessions() const { return Sessions.size(); }
  /// Sessions with a request or transaction under way.
  std::size_t busySessions() const;

private:
  void acceptNext();

  Options Opts;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::shared_ptr<CarriedSession::Host> Host;
  std::set<std::shared_ptr<CarriedSession>> Sessions;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cicadawind

#endif
