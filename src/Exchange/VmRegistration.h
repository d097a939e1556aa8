#ifndef CICADAWIND_EXCHANGE_VMREGISTRATION_H
#define CICADAWIND_EXCHANGE_VMREGISTRATION_H

#include "Core/Clock.h"

#include <boost/asio/awaitable.hpp>

namespace cicadawind {

class ObjectWatcher;
class ObjectStore;
class PeerExchange;

/// \class VmRegistration
/// \brief Writes this VM's entry to the store at its start and contacts the VMs
/// that the store lists.
///
/// The store's list lets VMs find each other if none of the seeds exists any
/// more. Later on they learn of each other through hellos, so the list is read
/// only once. If no call fails, writing the entry costs one to three calls to
/// the store, and listing costs one call for each page.
class VmRegistration {
public:
  struct Options {
    /// Timeout of reading or writing an entry. Listing the entries has the
    /// watcher's own timeout.
    Duration CallTimeout = std::chrono::seconds(2);
    /// Wait before the calls that failed are repeated.
    Duration RetryBackoff = std::chrono::milliseconds(500);
  };

  VmRegistration(Options Opts, ObjectStore &Store, ObjectWatcher &Watcher,
                 PeerExchange &Peers);

  /// Repeats its calls until the store has accepted the entry and returned the
  /// list.
  boost::asio::awaitable<void> run();

private:
  /// Writes this VM's entry, or replaces the one of an earlier start; false if
  /// the store did not accept it.
  boost::asio::awaitable<bool> writeEntry();
  /// Sends a hello to each listed VM; false if the list could not be read.
  boost::asio::awaitable<bool> contactListed();

  Options Opts;
  ObjectStore &Store;
  ObjectWatcher &Watcher;
  PeerExchange &Peers;
};

} // namespace cicadawind

#endif
