#ifndef CICADAWIND_ACCOUNTS_CLIENTACCOUNT_H
#define CICADAWIND_ACCOUNTS_CLIENTACCOUNT_H

#include "Accounts/RateLimit.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadawind {

/// \class ClientAccount
/// \brief An account of callers, as the configuration lists it.
struct ClientAccount {
  /// Name that targets are told; without spaces and control characters.
  std::string Name;
  /// API keys, any of which identifies a caller of the account.
  std::vector<std::string> Keys;
  /// Priority among accounts; 0 is the highest.
  unsigned Priority = 0;
  /// Empty if the account's operations are not limited.
  std::optional<RateLimit> Limit;

  bool operator==(const ClientAccount &) const = default;
};

} // namespace cicadawind

#endif
