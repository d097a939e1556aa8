#ifndef CICADAWIND_TEST_PROXY_PROXYWORLD_H
#define CICADAWIND_TEST_PROXY_PROXYWORLD_H

#include "Emulator/EmulatedGroup.h"
#include "Emulator/EmulatedInstance.h"
#include "LineProtocol.h"
#include "Observability/Metrics.h"
#include "Proxy/ProxyService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cicadawind::test {

/// \class ProxyWorld
/// \brief One VM's proxy in front of one emulated group, on one event loop.
///
/// The databases are "latest", "bounded" (bounded staleness of 1,500 ms) and
/// "own" (read your writes, 2,500 ms). The instances are "a", which is the
/// first primary, "b" and "c". Uses the real clock; tests wait for states
/// rather than for durations where they can.
class ProxyWorld {
public:
  explicit ProxyWorld(bool UsesSlowStart = false);
  ~ProxyWorld();

  /// Runs the loop, with sweeps, until \p Condition holds; false if it does not
  /// within 5 s.
  bool runUntil(const std::function<bool()> &Condition);
  void runFor(Duration Time);
  /// Sets the hook that is called after every sweep of the proxy.
  void onSweep(std::function<void(TimePoint)> Hook) {
    SweepHook = std::move(Hook);
  }

  /// Makes the group promise that \p Count replicas have received a commit
  /// before it is acknowledged. The emulated instances wait for none.
  void setSynchronousReplicas(unsigned Count);
  /// Applies the registry's current list of targets to the proxy.
  void applyListedTargets();
  /// Returns the registry's list: the instances that are not down.
  std::vector<TargetEntry> listedTargets() const;

  /// Returns the records of the caller's request \p Id at all instances.
  std::vector<emulator::RunRecord> recordsOf(const std::string &Id) const;
  /// Returns the records of all requests of callers, by instance and then in
  /// order of arrival.
  std::vector<emulator::RunRecord> callersRecords() const;

  emulator::EmulatedInstance &instance(const std::string &Id) {
    return *Instances.at(Id);
  }

  boost::asio::io_context Loop;
  platform::LineProtocol Codec;
  Metrics Meter;
  emulator::EmulatedGroup Group{"g", {"a", "b", "c"}};
  std::map<std::string, std::unique_ptr<emulator::EmulatedInstance>> Instances;
  /// Instances that the registry lists as leaving.
  std::vector<std::string> Leaving;
  std::shared_ptr<ProxyConfig> Config;
  std::unique_ptr<ProxyService> Service;

private:
  TimePoint LastSweep;
  std::function<void(TimePoint)> SweepHook;
};

/// \class ProxyCaller
/// \brief A connected caller of a proxy in a ProxyWorld.
class ProxyCaller {
public:
  ProxyCaller(ProxyWorld &World, const std::string &Database,
              const std::string &Key = "someone")
      : ProxyCaller(World, *World.Service, Database, Key) {}
  /// Connects to \p Service, the proxy of another VM in the same \p World.
  ProxyCaller(ProxyWorld &World, ProxyService &Service,
              const std::string &Database, const std::string &Key = "someone");

  void send(const std::string &Line) { sendRaw(Line + "\r\n"); }
  void sendRaw(const std::string &Bytes);
  /// Returns the lines received up to and including the next READY, without
  /// line ends; fewer if the connection ends or 5 s pass first.
  std::vector<std::string> receive();
  /// Returns the lines that have arrived, without running the loop.
  std::vector<std::string> takeReceived();
  /// Sends a request under a new id and returns the lines of its response,
  /// joined by " | ".
  std::string ask(const std::string &Text);
  const std::string &lastId() const { return LastId; }
  /// Returns the lines of the response to the opening message.
  const std::vector<std::string> &opening() const { return Opening; }
  /// Returns whether the proxy closes the connection within 5 s.
  bool isClosed();
  void close() { Socket.close(); }

private:
  void readSome();
  /// Takes the next complete line out of Received; false if there is none.
  bool takeLine(std::string &Line);

  ProxyWorld &World;
  boost::asio::ip::tcp::socket Socket;
  std::string Received;
  std::string LastId;
  std::vector<std::string> Opening;
  bool ConnectionEnded = false;
};

} // namespace cicadawind::test

#endif
