#ifndef CICADAWIND_TEST_SYSTEM_RELAYEDFLEET_H
#define CICADAWIND_TEST_SYSTEM_RELAYEDFLEET_H

#include "Core/Clock.h"
#include "Emulator/EmulatedStore.h"
#include "System/PortBlock.h"
#include "System/ProxyProcess.h"
#include "System/TcpRelay.h"
#include "System/UdpRelay.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadawind::test {

/// \class RelayedFleet
/// \brief Real processes of the proxy on VMs of one failure domain, before an
/// emulated store.
///
/// All connections between the VMs and to the store go through relays of the
/// test, which can make them silent. Store and relays run on one loop, inside
/// runUntil().
class RelayedFleet {
public:
  struct Options {
    /// Folder that contains the programs.
    std::string Programs;
    std::size_t Vms = 6;
    /// Number of VMs, the first ones, that start at once; the others wait for
    /// start().
    std::size_t Started = 6;
    /// Number of VMs that the store lists and that were lost right after their
    /// start. Their addresses refuse connections.
    std::size_t LostVms = 0;
    /// JSON list of the client accounts of the configuration; empty if it does
    /// not tell accounts apart.
    std::string Accounts;
  };

  explicit RelayedFleet(Options Opts);
  RelayedFleet(const RelayedFleet &) = delete;
  RelayedFleet &operator=(const RelayedFleet &) = delete;

  /// Writes a configuration with one more database to the store, and returns
  /// its name.
  std::string addDatabase();
  /// Returns whether the VM \p Index opens sessions to \p Database.
  bool opens(std::size_t Index, const std::string &Database) const;
  /// Returns whether all VMs do.
  bool allOpen(const std::string &Database) const;
  std::size_t vms() const { return Processes.size(); }
  /// Returns the value of the metric \p Name, without labels, of the VM
  /// \p Index; empty if it has none or does not reply.
  std::optional<double> metric(std::size_t Index,
                               const std::string &Name) const;
  /// Sends the signal \p Number to the process of the VM \p Index.
  void signal(std::size_t Index, int Number);
  /// Returns whether the store lists the VM \p Index.
  bool isListed(std::size_t Index) const;
  /// Starts the process of the VM \p Index, which must not run.
  void start(std::size_t Index);
  /// Sends the signal \p Number to the process of the VM \p Index and runs
  /// store and relays until it has ended; returns whether it has in time.
  bool end(std::size_t Index, int Number);
  /// Runs store and relays until \p Condition holds; returns whether it does
  /// within \p Timeout.
  bool runUntil(Duration Timeout, const std::function<bool()> &Condition);

  /// Makes all open connections between VMs, or to the store, silent.
  void silencePeers();
  void silenceStore();

private:
  void listLostVms(std::size_t Count, int PeerPort);
  /// What the VM \p Index listens on, and where others reach it.
  static std::string boundAddress(std::size_t Index);
  static std::string relayAddress(std::size_t Index);

  std::string Accounts;
  boost::asio::io_context Loop;
  PortBlock Ports;
  emulator::EmulatedStore Store;
  std::vector<std::unique_ptr<TcpRelay>> PeerRelays;
  std::vector<std::unique_ptr<UdpRelay>> DatagramRelays;
  std::unique_ptr<TcpRelay> StoreRelay;
  std::vector<std::unique_ptr<ProxyProcess>> Processes;
  std::uint64_t Version = 0;
};

} // namespace cicadawind::test

#endif
