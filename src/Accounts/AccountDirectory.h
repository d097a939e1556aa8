#ifndef CICADAWIND_ACCOUNTS_ACCOUNTDIRECTORY_H
#define CICADAWIND_ACCOUNTS_ACCOUNTDIRECTORY_H

#include "Accounts/ClientAccount.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadawind {

/// \class AccountDirectory
/// \brief The client accounts of one version of the configuration, by name and
/// by API key.
///
/// Invariant: a key identifies at most one account. While the directory is
/// disabled, callers are not told apart and need no key. Look-ups cost O(1),
/// add() costs O(keys). A value type.
class AccountDirectory {
public:
  /// Makes callers need a key, even if no account is added.
  void enable() { Enabled = true; }
  bool isEnabled() const { return Enabled; }

  /// Adds \p Account and enables the directory. An account whose name is taken
  /// is left out, and so is a key that another account holds; both are recorded
  /// as problems.
  void add(ClientAccount Account);

  /// Returns the account that holds \p Key; null if there is none. The account
  /// is valid until the directory changes.
  const ClientAccount *findByKey(const std::string &Key) const;
  /// Returns the account \p Name; null if there is none.
  const ClientAccount *find(const std::string &Name) const;
  /// Returns the accounts in the order in which they were added.
  const std::vector<ClientAccount> &accounts() const { return Accounts; }

  /// Records a part of the configuration that is not in force, as a text for
  /// operators.
  void recordProblem(std::string Text) { Problems.push_back(std::move(Text)); }
  /// Returns what is not in force of the configuration's accounts, and why.
  /// Texts contain no key.
  const std::vector<std::string> &problems() const { return Problems; }

private:
  bool Enabled = false;
  std::vector<ClientAccount> Accounts;
  /// Indexes in Accounts, by name and by key.
  std::unordered_map<std::string, std::size_t> ByName;
  std::unordered_map<std::string, std::size_t> ByKey;
  std::vector<std::string> Problems;
};

} // namespace cicadawind

#endif
