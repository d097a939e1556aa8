#ifndef CICADAWIND_TEST_EXCHANGE_CONFIGFLEET_H
#define CICADAWIND_TEST_EXCHANGE_CONFIGFLEET_H

#include "Exchange/StateFetches.h"
#include "Membership/FleetGossip.h"
#include "Membership/StoreReaders.h"
#include "Platform/WatchedKind.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace cicadawind::test {

/// \class ConfigFleet
/// \brief The way of a configuration from the store to every VM of a fleet, in
/// virtual time.
///
/// The decisions are those of the product: FleetGossip, StoreReaders,
/// WatchedKind and StateFetches. The model has the network, the store and the
/// connections, which are kept after a call and may go silent: then no call on
/// them is answered, while new connections and datagrams work. The failure
/// domains are spread over two regions.
class ConfigFleet {
public:
  struct Options {
    std::size_t Vms = 72;
    std::size_t Domains = 6;
    std::uint64_t Seed = 1;
    WatchedKind::Options Watching;
  };

  explicit ConfigFleet(Options NewOpts);
  ConfigFleet(const ConfigFleet &) = delete;
  ConfigFleet &operator=(const ConfigFleet &) = delete;

  /// The operator changes the configuration, and the store confirms it.
  void change();
  /// Makes the part \p Share of the open connections between VMs silent, also
  /// of those on which a call is in progress.
  void silencePeerConnections(double Share);
  /// The same for the open connections to the store.
  void silenceStoreConnections(double Share);
  /// Suspends the part \p Share of the VMs for \p Length. What arrives
  /// meanwhile is handled afterwards.
  void suspendShare(double Share, Duration Length);

  void runFor(Duration Length);
  /// Makes \p Count changes, one a second, so that VMs have open connections.
  void changeOften(int Count);

  /// Returns the longest time between a confirmation since \p From and the use
  /// of that version or a later one by a VM; the time until now where a VM does
  /// not use it yet. VMs that were suspended since then do not count.
  Duration worstLag(TimePoint From) const;
  /// Returns how many VMs use the last version.
  std::size_t users() const;
  TimePoint now() const { return Now; }

private:
  struct Connection {
    bool IsSilent = false;
  };
  struct Hello {
    std::size_t From = 0;
    std::uint64_t Config = 0;
    std::vector<FleetMention> Mentions;
    std::vector<ContactAge> Ages;
    std::vector<ContactAge> StoreReads;
    bool WantsReply = false;
  };
  struct Use {
    std::uint64_t Version = 0;
    TimePoint At;
  };
  struct Vm {
    VmEntry Entry;
    std::unique_ptr<FleetGossip> Gossip;
    std::unique_ptr<StoreReaders> Readers;
    std::unique_ptr<WatchedKind> Copy;
    std::unique_ptr<StateFetches> Fetches;
    std::uint64_t Config = 0;
    std::vector<Use> Uses;
    TimePoint NextHello;
    TimePoint SuspendedUntil;
    std::uint64_t LiveVersion = 0;
    /// Whether a call to the store runs or is due.
    bool IsWatching = false;
    std::uint64_t StoreCall = 0;
    std::shared_ptr<Connection> StoreLink;
  };
  /// A watch that the store holds.
  struct HeldWatch {
    std::size_t Vm = 0;
    std::uint64_t Call = 0;
    std::uint64_t Since = 0;
    std::shared_ptr<Connection> Link;
  };

  void addVm(std::size_t Index);
  /// Runs \p Work at \p When.
  void at(TimePoint When, std::function<void()> Work);
  /// Runs \p Work at \p When, or later if the VM is suspended then.
  void atVm(std::size_t Index, TimePoint When, std::function<void()> Work);
  bool isSuspended(std::size_t Index) const;
  Duration latency(std::size_t From, std::size_t To) const;
  Duration storeLatency(std::size_t Index) const;

  void sweep(std::size_t Index);
  StateFetches::OwnState ownState(std::size_t Index) const;
  Hello helloOf(std::size_t Index);
  void sendHello(std::size_t From, std::size_t To);
  void announce(std::size_t Index);
  void receive(std::size_t Index, const Hello &Received);
  void startDueFetches(std::size_t Index);
  void fetch(std::size_t Index, const StateFetches::Attempt &From);
  void use(std::size_t Index, std::uint64_t Version);

  void callStore(std::size_t Index);
  void respond(const HeldWatch &To);
  /// Applies the response to the call \p Call of the VM \p Index.
  void finishStoreCall(std::size_t Index, std::uint64_t Call,
                       WatchedKind::Operation Kind, std::uint64_t Version);
  void scheduleStoreCall(std::size_t Index);

  Options Opts;
  std::mt19937_64 Random;
  TimePoint Now{std::chrono::seconds(1000)};
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<Vm> Vms;
  std::map<std::pair<std::size_t, std::size_t>, std::shared_ptr<Connection>>
      KeptLinks;
  /// All open connections between VMs.
  std::vector<std::weak_ptr<Connection>> PeerLinks;
  std::uint64_t Version = 1;
  /// When each version was confirmed.
  std::map<std::uint64_t, TimePoint> ConfirmedAt;
  std::vector<HeldWatch> Held;
};

} // namespace cicadawind::test

#endif
