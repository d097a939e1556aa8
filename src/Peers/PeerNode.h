#ifndef CICADAWIND_PEERS_PEERNODE_H
#define CICADAWIND_PEERS_PEERNODE_H

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Http/HttpMessage.h"
#include "Membership/MemberTable.h"
#include "Observability/Log.h"
#include "Peers/NoteStore.h"
#include "ReleaseNotes/ConfigHistory.h"
#include "Rpc/RpcDispatcher.h"
#include "Settings/DaemonSettings.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cicadawind {

class HttpClient;
class PlatformClient;

/// Role of the daemon that a node belongs to.
enum class DaemonRole { Router, Pooler };

/// \class PeerNode
/// \brief Maintains a daemon's member table and release notes by exchanges with
/// its peers.
///
/// In each failure domain a few poolers watch the platform's store and VM list
/// and push changes to the domain's daemons immediately. In addition, every
/// daemon exchanges one message per interval with a random peer, so that it
/// also learns of changes whose push it missed. The message contains the number
/// of the latest note; a daemon with a lower number then fetches the missing
/// notes. A daemon that cannot reach any peer watches the store itself. A
/// daemon's cost does not grow with the number of VMs, except for the member
/// table and for the leaving VMs that each message lists. Runs on the loop's
/// thread.
class PeerNode {
public:
  struct Options {
    DaemonRole Role = DaemonRole::Router;
    Duration ExchangeInterval = std::chrono::milliseconds(1500);
    /// Interval at which a daemon that watches the store, or knows no other VM,
    /// reads the VM list.
    Duration WatcherListInterval = std::chrono::seconds(1);
    /// Interval at which other daemons read the VM list.
    Duration ListInterval = std::chrono::seconds(30);
    /// Longest wait of one watch request to the store.
    Duration WatchWait = std::chrono::seconds(10);
    /// Number of poolers in each failure domain that watch the store.
    std::size_t WatchersPerDomain = 2;
  };

  PeerNode(boost::asio::io_context &Loop, const DaemonSettings &Settings,
           HttpClient &Http, PlatformClient &Platform, RandomSource Random,
           Options Opts);

  /// Starts the loops that exchange messages, watch the store and read the VM
  /// list.
  void start();

  ConfigHistory &history() { return History; }
  const ConfigHistory &history() const { return History; }
  MemberTable &members() { return Members; }
  const MemberTable &members() const { return Members; }
  NoteStore &notes() { return Notes; }
  RpcDispatcher &rpc() { return Rpc; }

  /// Returns whether this daemon has an active configuration.
  bool hasNote() const { return History.number() > 0; }

  /// Announces to all known peers that this VM is leaving.
  void announceLeaving();
  /// Returns whether this VM is leaving, as announced here, by a peer or by
  /// the platform, or is withdrawn by a release note.
  bool isLeaving() const;

  /// Calls \p Method of the peer at \p Address. Returns null if the call fails.
  boost::asio::awaitable<nlohmann::json>
  callPeer(std::string Address, std::string Method, nlohmann::json Params);

  /// Serves a request to /rpc.
  HttpResponse handleRpc(const HttpRequest &Request);

private:
  boost::asio::awaitable<void> exchangeLoop();
  boost::asio::awaitable<void> watchLoop();
  boost::asio::awaitable<void> listLoop();
  /// Exchanges a message with the peer at \p Address. If the peer does not
  /// respond, \p Vm is suspected, unless it is empty.
  boost::asio::awaitable<void> exchangeWith(std::string Address,
                                            std::string Vm);
  boost::asio::awaitable<void> fetchNotes(std::string Address);
  boost::asio::awaitable<void> pushTo(std::vector<std::string> Addresses);
  void pushToDomain();
  bool isStoreWatcher() const;
  bool isIsolated() const;
  /// Returns the contents of an exchange message: the latest note's number,
  /// this VM's entry and the incarnations of other VMs that are leaving.
  nlohmann::json digest() const;
  /// Merges a peer's exchange message into the member table.
  void mergeDigest(const nlohmann::json &Digest);
  std::vector<std::string> peerAddresses(bool OwnDomainOnly) const;
  void registerMethods();

  boost::asio::io_context &Loop;
  const DaemonSettings &Settings;
  HttpClient &Http;
  PlatformClient &Platform;
  RandomSource Random;
  Options Opts;
  Log Logger{"peers"};
  ConfigHistory History;
  MemberTable Members;
  NoteStore Notes;
  RpcDispatcher Rpc;
  VmEntry OwnEntry;
  /// When a peer last responded or sent an exchange message.
  TimePoint LastPeerContact;
  std::uint64_t Exchanges = 0;
};

} // namespace cicadawind

#endif
