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
/// Databases: "latest", "bounded" (1,500 ms) and "own" (2,500 ms, sessions see
/// their writes). Instances "a" (the first primary), "b" and "c". Time is the
/// machine's; everything waits for states.
class ProxyWorld {
public:
  ProxyWorld();
  ~ProxyWorld();

  /// Runs the loop, with sweeps, until \p Reached or 5 s have passed; false in
  /// the latter case.
  bool runUntil(const std::function<bool()> &Reached);
  void runFor(Duration Time);
  /// Called with every sweep.
  void onSweep(std::function<void(TimePoint)> Hook) {
    SweepHook = std::move(Hook);
  }

  /// Tells the proxy what the registry lists.
  void listTargets();
  std::vector<TargetEntry> listedTargets() const;

  /// All requests that any instance saw with the caller's \p Id.
  std::vector<emulator::RunRecord> recordsOf(const std::string &Id) const;
  /// All requests of callers, in order, on any instance.
  std::vector<emulator::RunRecord> callersRecords() const;

  emulator::EmulatedInstance &instance(const std::string &Id) {
    return *Instances.at(Id);
  }

  boost::asio::io_context Loop;
  platform::LineProtocol Codec;
  Metrics Meter;
  emulator::EmulatedGroup Group{"g", {"a", "b", "c"}};
  std::map<std::string, std::unique_ptr<emulator::EmulatedInstance>> Instances;
  /// Instances that the registry says are leaving.
  std::vector<std::string> Leaving;
  std::shared_ptr<ProxyConfig> Config;
  std::unique_ptr<ProxyService> Service;

private:
  TimePoint LastSweep;
  std::function<void(TimePoint)> SweepHook;
};

/// \class ProxyCaller
/// \brief A caller of a ProxyWorld.
class ProxyCaller {
public:
  ProxyCaller(ProxyWorld &World, const std::string &Database)
      : ProxyCaller(World, *World.Service, Database) {}
  /// A caller of another VM's proxy in the same world.
  ProxyCaller(ProxyWorld &World, ProxyService &Service,
              const std::string &Database);

  void send(const std::string &Line) { sendRaw(Line + "\r\n"); }
  void sendRaw(const std::string &Bytes);
  /// Lines up to and with the next READY, without their ends; whatever there
  /// is if the connection ends or 5 s pass.
  std::vector<std::string> receive();
  /// Sends a request under an id of its own and returns its answer, lines
  /// joined by " | ".
  std::string ask(const std::string &Text);
  const std::string &lastId() const { return LastId; }
  bool isClosed();
  void close() { Socket.close(); }

private:
  void readSome();

  ProxyWorld &World;
  boost::asio::ip::tcp::socket Socket;
  std::string Received;
  std::string LastId;
  bool Ended = false;
};

} // namespace cicadawind::test

#endif
