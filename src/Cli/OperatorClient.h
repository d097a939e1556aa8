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
/// \brief Calls daemons' operator interface, one call at a time.
class OperatorClient {
public:
  struct Options {
    /// "ip:port" of peer ports to try in order.
    std::vector<std::string> Daemons;
    std::string Key;
    Duration Limit = std::chrono::seconds(10);
  };

  explicit OperatorClient(Options Opts);
  ~OperatorClient();

  /// Calls the first daemon that can be reached. \p Body null makes a GET.
  Result<nlohmann::json> call(const std::string &Path,
                              const nlohmann::json &Body);

  /// Calls the daemon at \p Address.
  Result<nlohmann::json> callAt(const std::string &Address,
                                const std::string &Path,
                                const nlohmann::json &Body, Duration Limit);

  /// Peer addresses of every daemon in \p Members, a status answer's list.
  static std::vector<std::pair<std::string, std::string>>
  addressesOf(const nlohmann::json &Members);

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace cicadawind

#endif
