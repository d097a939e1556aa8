#ifndef CICADAWIND_TEST_EMULATOR_EMULATEDINSTANCE_H
#define CICADAWIND_TEST_EMULATOR_EMULATEDINSTANCE_H

#include "Emulator/EmulatedGroup.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cicadawind::emulator {

/// One request that an instance ran or refused.
struct RunRecord {
  std::string Id;
  std::string Text;
  std::string Instance;
  std::uint64_t Connection = 0;
  /// Whether it ran inside a transaction.
  bool InTransaction = false;
  /// Session values of the connection, as "name=value;".
  std::string Values;
  std::string Answer;
};

/// How an instance treats requests to come.
struct InstanceFaults {
  /// Accepts and reads, but answers nothing.
  bool Silent = false;
  /// Runs this many writes or commits whose answer is then lost.
  int LoseAnswers = 0;
  /// Refuses this many requests as busy.
  int Busy = 0;
  Duration Work = Duration::zero();
};

/// \class EmulatedInstance
/// \brief A database instance that speaks the platform's line protocol.
class EmulatedInstance {
public:
  EmulatedInstance(boost::asio::io_context &Loop, EmulatedGroup &Group,
                   std::string Id, unsigned MaxConnections);
  ~EmulatedInstance();

  /// "ip:port" that it listens on.
  std::string address() const;
  const std::string &id() const { return Id; }

  /// Ends all connections and listens no more.
  void crash();
  /// Closes the open connections only.
  void resetConnections();

  InstanceFaults Faults;
  std::vector<RunRecord> Records;
  std::size_t connections() const;
  /// Requests that it works on at present.
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
