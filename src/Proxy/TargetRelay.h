#ifndef CICADAWIND_PROXY_TARGETRELAY_H
#define CICADAWIND_PROXY_TARGETRELAY_H

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cicadawind {

class LineStream;

/// \class TargetRelay
/// \brief Carries other VMs' connections to targets that they cannot reach.
///
/// A peer's first line names the group and the instance; everything after it is
/// passed on unread, in both directions, until either end closes. What the
/// target checks, it checks for the peer as for anyone.
class TargetRelay {
public:
  struct Options {
    std::string Address;
    std::uint16_t Port = 0;
    /// Connections carried at once.
    std::size_t MaxConnections = 256;
    /// "ip:port" of a target of this VM's own view; empty when it is unknown.
    std::function<std::string(const std::string &Group,
                              const std::string &Instance)>
        AddressOf;
  };

  TargetRelay(boost::asio::io_context &Loop, Options Opts);
  ~TargetRelay();
  TargetRelay(const TargetRelay &) = delete;
  TargetRelay &operator=(const TargetRelay &) = delete;

  /// Listens; throws when the port is taken.
  void start();
  std::uint16_t port() const;
  std::size_t connections() const { return *Count; }

  /// The line that asks for a target.
  static std::string requestFor(const std::string &Group,
                                const std::string &Instance);

private:
  void acceptNext();
  void serve(const std::shared_ptr<LineStream> &Peer, std::string_view Request);

  boost::asio::io_context &Loop;
  Options Opts;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::shared_ptr<std::size_t> Count = std::make_shared<std::size_t>(0);
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cicadawind

#endif
