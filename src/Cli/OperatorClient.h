#ifndef CICADAWIND_CLI_OPERATORCLIENT_H
#define CICADAWIND_CLI_OPERATORCLIENT_H

#include "Core/Clock.h"
#include "Core/Result.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cicadawind {

/// \class OperatorClient
/// \brief Calls the operator interface of daemons; each call blocks until its
/// response arrives or it fails.
///
/// A call without a complete response yields the error Unreachable; its Outcome
/// is MayHaveRun if the request may have been sent. Not thread safe.
class OperatorClient {
public:
  struct Options {
    /// Peer addresses of the daemons to try in this order, "ip:port".
    std::vector<std::string> Daemons;
    /// Operator key, which is sent with each call.
    std::string Key;
    /// Timeout of one call.
    Duration Timeout = std::chrono::seconds(10);
  };

  explicit OperatorClient(Options Opts);
  ~OperatorClient();

  /// Calls the daemons in order until one responds. A daemon that does not
  /// respond may have run the call, so the call must be safe to repeat. The
  /// method is GET if \p Body is null, and POST otherwise.
  Result<nlohmann::json> call(const std::string &Path,
                              const nlohmann::json &Body);

  /// Calls the daemon at \p Address and waits up to \p Timeout.
  Result<nlohmann::json> callAt(const std::string &Address,
                                const std::string &Path,
                                const nlohmann::json &Body, Duration Timeout);

  /// Returns name and peer address of every daemon in \p Members, the list of
  /// VMs in a status response. A name is the VM followed by " router" or
  /// " pooler".
  static std::vector<std::pair<std::string, std::string>>
  addressesOf(const nlohmann::json &Members);

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace cicadawind

#endif
