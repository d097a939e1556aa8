#include "Config/ConfigComparison.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <string>
#include <utility>

namespace cicadawind {
namespace internal {

using Kind = ConfigDifference::Kind;
using Differences = std::vector<ConfigDifference>;

static std::string textOf(Millis Value) {
  return std::to_string(Value.count()) + " ms";
}

static std::string textOf(unsigned Value) { return std::to_string(Value); }

static std::string textOf(std::size_t Bytes) {
  return std::to_string(Bytes) + " bytes";
}

static std::string textOf(bool Value) { return Value ? "yes" : "no"; }

static std::string textOf(const std::string &Value) { return Value; }

static std::string textOf(Consistency Value) {
  switch (Value) {
  case Consistency::Latest:
    return "latest";
  case Consistency::BoundedStaleness:
    return "bounded staleness";
  case Consistency::ReadYourWrites:
    return "read your writes";
  }
  return "unknown";
}

/// Digits after which two rates are taken for the same text.
constexpr int RateDigits = 12;

static std::string textOf(double Value) {
  std::ostringstream Out;
  Out.precision(RateDigits);
  Out << Value;
  return Out.str();
}

/// Adds a difference of the kind \p What in \p Field if the values differ.
template <class T>
static void compareField(Kind What, const std::string &Name, const char *Field,
                         const T &Old, const T &New, Differences &Out) {
  if (Old != New)
    Out.push_back({.What = What,
                   .Name = Name,
                   .Field = Field,
                   .Old = textOf(Old),
                   .New = textOf(New)});
}

/// Walks two maps in the order of their keys. Calls \p OnRemoved, \p OnAdded or
/// \p OnBoth for each key.
template <class Map, class Removed, class Added, class Both>
static void walk(const Map &Old, const Map &New, Removed OnRemoved,
                 Added OnAdded, Both OnBoth) {
  auto O = Old.begin();
  auto N = New.begin();
  while (O != Old.end() || N != New.end()) {
    if (N == New.end() || (O != Old.end() && O->first < N->first)) {
      OnRemoved(*O++);
    } else if (O == Old.end() || N->first < O->first) {
      OnAdded(*N++);
    } else {
      OnBoth(*O++, *N++);
    }
  }
}

static void compareRoute(const RouteConfig &Old, const RouteConfig &New,
                         Differences &Out) {
  auto Compare = [&](const char *Field, const auto &Before, const auto &After) {
    compareField(Kind::RouteChanged, New.Database, Field, Before, After, Out);
  };
  Compare("group", Old.Group, New.Group);
  Compare("reads", Old.Reads, New.Reads);
  Compare("max_staleness", Old.MaxStaleness, New.MaxStaleness);
  Compare("statement_timeout", Old.StatementTimeout, New.StatementTimeout);
  Compare("latency_objective", Old.LatencyObjective, New.LatencyObjective);
  Compare("priority", Old.Priority, New.Priority);
  Compare("public", Old.Public, New.Public);
}

static void compareRoutes(const ProxyConfig &Old, const ProxyConfig &New,
                          Differences &Out) {
  walk(
      Old.Routes, New.Routes,
      [&](const auto &Gone) {
        Out.push_back({.What = Kind::RouteRemoved, .Name = Gone.first});
      },
      [&](const auto &Added) {
        Out.push_back({.What = Kind::RouteAdded, .Name = Added.first});
      },
      [&](const auto &Before, const auto &After) {
        compareRoute(Before.second, After.second, Out);
      });
}

static void compareGroups(const ProxyConfig &Old, const ProxyConfig &New,
                          Differences &Out) {
  walk(
      Old.Groups, New.Groups,
      [&](const auto &Gone) {
        Out.push_back({.What = Kind::GroupRemoved, .Name = Gone.first});
      },
      [&](const auto &Added) {
        Out.push_back({.What = Kind::GroupAdded, .Name = Added.first});
      },
      [&](const auto &Before, const auto &After) {
        compareField(Kind::GroupLimitChanged, After.first, "max_connections",
                     Before.second.MaxConnections, After.second.MaxConnections,
                     Out);
        compareField(Kind::GroupLimitChanged, After.first,
                     "synchronous_replicas", Before.second.SynchronousReplicas,
                     After.second.SynchronousReplicas, Out);
      });
}

static void compareCallers(const CallerLimits &Old, const CallerLimits &New,
                           Differences &Out) {
  auto Compare = [&](const char *Field, const auto &Before, const auto &After) {
    compareField(Kind::CallerLimitChanged, "", Field, Before, After, Out);
  };
  Compare("max_message", Old.MaxMessageBytes, New.MaxMessageBytes);
  Compare("incomplete_message", Old.IncompleteMessage, New.IncompleteMessage);
  Compare("idle_session", Old.IdleSession, New.IdleSession);
  Compare("idle_transaction", Old.IdleTransaction, New.IdleTransaction);
}

static std::vector<std::string> sorted(std::vector<std::string> Keys) {
  std::sort(Keys.begin(), Keys.end());
  return Keys;
}

/// Returns how many of \p Keys are not among \p Others; both are sorted.
static std::size_t countMissing(const std::vector<std::string> &Keys,
                                const std::vector<std::string> &Others) {
  return static_cast<std::size_t>(
      std::count_if(Keys.begin(), Keys.end(), [&](const std::string &Key) {
        return !std::binary_search(Others.begin(), Others.end(), Key);
      }));
}

static void compareKeys(const ClientAccount &Old, const ClientAccount &New,
                        Differences &Out) {
  std::vector<std::string> Before = sorted(Old.Keys);
  std::vector<std::string> After = sorted(New.Keys);
  std::size_t Added = countMissing(After, Before);
  std::size_t Removed = countMissing(Before, After);
  if (Added > 0)
    Out.push_back({.What = Kind::KeysAdded,
                   .Name = New.Name,
                   .New = std::to_string(Added)});
  if (Removed > 0)
    Out.push_back({.What = Kind::KeysRemoved,
                   .Name = New.Name,
                   .Old = std::to_string(Removed)});
}

static std::string textOf(const RateLimit &Limit) {
  return textOf(Limit.PerSecond) + " a second, burst " + textOf(Limit.Burst);
}

static void compareRates(const ClientAccount &Old, const ClientAccount &New,
                         Differences &Out) {
  if (Old.Limit && !New.Limit)
    Out.push_back({.What = Kind::RateLimitRemoved,
                   .Name = New.Name,
                   .Old = textOf(*Old.Limit)});
  if (!Old.Limit && New.Limit)
    Out.push_back({.What = Kind::RateLimitAdded,
                   .Name = New.Name,
                   .New = textOf(*New.Limit)});
  if (!Old.Limit || !New.Limit)
    return;
  auto Compare = [&](const char *Field, double Before, double After) {
    compareField(After > Before ? Kind::RateLimitRaised
                                : Kind::RateLimitLowered,
                 New.Name, Field, Before, After, Out);
  };
  Compare("per_second", Old.Limit->PerSecond, New.Limit->PerSecond);
  Compare("burst", Old.Limit->Burst, New.Limit->Burst);
}

static void compareAccount(const ClientAccount &Old, const ClientAccount &New,
                           Differences &Out) {
  compareField(Kind::AccountPriorityChanged, New.Name, "priority", Old.Priority,
               New.Priority, Out);
  compareKeys(Old, New, Out);
  compareRates(Old, New, Out);
}

static std::map<std::string, const ClientAccount *>
byName(const AccountDirectory &Accounts) {
  std::map<std::string, const ClientAccount *> Out;
  for (const ClientAccount &Each : Accounts.accounts())
    Out.emplace(Each.Name, &Each);
  return Out;
}

static void compareAccounts(const AccountDirectory &Old,
                            const AccountDirectory &New, Differences &Out) {
  if (!Old.isEnabled() && New.isEnabled())
    Out.push_back({.What = Kind::AccountsEnabled});
  if (Old.isEnabled() && !New.isEnabled())
    Out.push_back({.What = Kind::AccountsDisabled});
  walk(
      byName(Old), byName(New),
      [&](const auto &Gone) {
        Out.push_back({.What = Kind::AccountRemoved, .Name = Gone.first});
      },
      [&](const auto &Added) {
        Out.push_back({.What = Kind::AccountAdded, .Name = Added.first});
      },
      [&](const auto &Before, const auto &After) {
        compareAccount(*Before.second, *After.second, Out);
      });
}

/// Whether VMs that have \p Old ignore \p New, which has other contents.
static bool isIgnored(const ProxyConfig &Old, const ProxyConfig &New,
                      bool Differs) {
  return New.Version < Old.Version || (New.Version == Old.Version && Differs);
}

} // namespace internal

std::vector<ConfigDifference> compareConfigs(const ProxyConfig &InForce,
                                             const ProxyConfig &Next) {
  internal::Differences Out;
  internal::compareRoutes(InForce, Next, Out);
  internal::compareGroups(InForce, Next, Out);
  internal::compareCallers(InForce.Callers, Next.Callers, Out);
  internal::compareAccounts(InForce.Accounts, Next.Accounts, Out);
  if (internal::isIgnored(InForce, Next, !Out.empty()))
    Out.insert(Out.begin(), {.What = ConfigDifference::Kind::VersionNotHigher,
                             .Field = "version",
                             .Old = std::to_string(InForce.Version),
                             .New = std::to_string(Next.Version)});
  return Out;
}

} // namespace cicadawind
