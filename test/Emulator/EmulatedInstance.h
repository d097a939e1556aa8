#ifndef CICADAWIND_TEST_EMULATOR_EMULATEDINSTANCE_H
#define CICADAWIND_TEST_EMULATOR_EMULATEDINSTANCE_H

#include "Emulator/EmulatedGroup.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cicadawind::emulator {

/// Record of one request that an instance ran or refused.
struct RunRecord {
  std::string Id;
  std::string Text;
  std::string Instance;
  std::uint64_t Connection = 0;
  /// Who the connection says that it serves.
  std::string Account;
  /// Whether a transaction was open when the request arrived.
  bool InTransaction = false;
  /// Session values of the connection, as "name=value;".
  std::string Values;
  std::string Answer;
};

/// Faults that an instance injects into later requests.
struct InstanceFaults {
  /// Accepts connections and reads requests, but never replies.
  bool Silent = false;
  /// Number of writes or commits to run without a reply; the connection is
  /// closed instead.
  int LoseAnswers = 0;
  /// Number of rollbacks to run without a reply. Their connections stay open
  /// and return nothing any more.
  int MuteRollbacks = 0;
  /// Number of requests to refuse as busy.
  int Busy = 0;
  /// Number of requests to step down to refuse as busy.
  int BusyDemotes = 0;
  /// Time that each request takes.
  Duration Work = Duration::zero();
};

/// \class EmulatedInstance
/// \brief A database instance that speaks the platform's line protocol.
class EmulatedInstance {
public:
  EmulatedInstance(boost::asio::io_context &Loop, EmulatedGroup &Group,
                   std::string Id, unsigned MaxConnections);
  ~EmulatedInstance();

  /// Returns the address that the instance listens on, "ip:port".
  std::string address() const;
  const std::string &id() const { return Id; }

  /// Closes all connections, stops listening and sets Down in the group.
  void crash();
  /// Closes all connections and continues to listen.
  void resetConnections();

  InstanceFaults Faults;
  std::vector<RunRecord> Records;
  /// Returns the number of open connections.
  std::size_t connections() const;
  /// Returns the number of requests in progress.
  std::size_t running() const;

private:
  class Connection;
  void acceptNext();

  boost::asio::io_context &Loop;
  EmulatedGroup &Group;
  std::string Id;
  unsigned MaxConnections;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::vector<std::shared_ptr<Connection>> Connections;
  std::uint64_t LastConnection = 0;
};

} // namespace cicadawind::emulator

#endif
