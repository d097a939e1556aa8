#include "Accounts/AccountDirectory.h"

#include <utility>

namespace cicadawind {

void AccountDirectory::add(ClientAccount Account) {
  enable();
  std::size_t Index = Accounts.size();
  if (!ByName.try_emplace(Account.Name, Index).second)
    return recordProblem("account '" + Account.Name +
                         "' is listed twice; the first entry is in force");
  std::vector<std::string> Held;
  for (std::string &Key : Account.Keys) {
    auto [It, IsNew] = ByKey.try_emplace(Key, Index);
    if (IsNew)
      Held.push_back(std::move(Key));
    else if (It->second != Index)
      recordProblem("account '" + Account.Name + "': a key is held by '" +
                    Accounts[It->second].Name +
                    "' already and identifies only that account");
  }
  Account.Keys = std::move(Held);
  Accounts.push_back(std::move(Account));
}

const ClientAccount *AccountDirectory::findByKey(const std::string &Key) const {
  auto It = ByKey.find(Key);
  return It == ByKey.end() ? nullptr : &Accounts[It->second];
}

const ClientAccount *AccountDirectory::find(const std::string &Name) const {
  auto It = ByName.find(Name);
  return It == ByName.end() ? nullptr : &Accounts[It->second];
}

} // namespace cicadawind
