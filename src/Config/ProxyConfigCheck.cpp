#include "Config/ProxyConfigCheck.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace cicadawind {
namespace internal {

using Severity = ConfigFinding::Severity;
using Findings = std::vector<ConfigFinding>;

/// Longest name of a database or group. Longer ones are taken for faults, as
/// those of accounts are.
constexpr std::size_t MaxNameBytes = 256;
/// Limits on requests outside of which most likely a unit was mistaken.
constexpr std::size_t LeastPlausibleMessageBytes = 1024;
constexpr std::size_t MostPlausibleMessageBytes = std::size_t{8} * 1024 * 1024;
/// Number of operations that a burst needs so that any is admitted.
constexpr double WholeOperation = 1;

static void addError(Findings &Out, std::string Where, std::string Text) {
  Out.push_back({.Level = Severity::Error,
                 .Where = std::move(Where),
                 .Text = std::move(Text)});
}

static void addWarning(Findings &Out, std::string Where, std::string Text) {
  Out.push_back({.Level = Severity::Warning,
                 .Where = std::move(Where),
                 .Text = std::move(Text)});
}

/// Returns the size of the start of \p Text of at most \p MaxBytes that cuts no
/// character of UTF-8.
static std::size_t startBytes(const std::string &Text, std::size_t MaxBytes) {
  constexpr unsigned char TypeMask = 0xC0;
  constexpr unsigned char Continuation = 0x80;
  std::size_t End = std::min(Text.size(), MaxBytes);
  while (End > 0 && End < Text.size() &&
         (static_cast<unsigned char>(Text[End]) & TypeMask) == Continuation)
    --End;
  return End;
}

static std::string whereOf(const char *Kind, const std::string &Name) {
  return std::string(Kind) + " '" + shownText(Name) + "'";
}

static bool isControl(char Each) {
  return std::iscntrl(static_cast<unsigned char>(Each)) != 0;
}

/// Whether \p Name has a character that ends a word of a message.
static bool hasSeparator(const std::string &Name) {
  return std::any_of(Name.begin(), Name.end(),
                     [](char Each) { return Each == ' ' || isControl(Each); });
}

static void checkName(const std::string &Where, const std::string &Name,
                      Findings &Out) {
  if (Name.empty())
    addError(Out, Where, "its name is empty; give it a name");
  if (hasSeparator(Name))
    addError(Out, Where,
             "its name has spaces or control characters, so no caller can name "
             "it; leave them out");
  if (Name.size() > MaxNameBytes)
    addError(Out, Where,
             "its name is longer than " + std::to_string(MaxNameBytes) +
                 " bytes; shorten it");
}

static void checkRouteTimes(const std::string &Where, const RouteConfig &Route,
                            Findings &Out) {
  if (Route.StatementTimeout <= Millis::zero())
    addError(Out, Where, "statements have no time; set a time limit above 0");
  if (Route.LatencyObjective <= Millis::zero())
    addError(Out, Where,
             "its latency objective is 0, so every statement is refused that "
             "does not find a free connection; set one above 0");
  bool Bounded = Route.Reads != Consistency::Latest;
  if (Bounded && Route.MaxStaleness <= Millis::zero())
    addError(Out, Where,
             "its reads may not be old at all; allow an age, or have it read "
             "the latest");
  if (Route.StatementTimeout > Millis::zero() &&
      Route.StatementTimeout < Route.LatencyObjective)
    addWarning(Out, Where,
               "statements time out after " +
                   std::to_string(Route.StatementTimeout.count()) +
                   " ms, before the latency objective of " +
                   std::to_string(Route.LatencyObjective.count()) +
                   " ms; raise the timeout or lower the objective");
}

static void checkRoute(const ProxyConfig &Config, const RouteConfig &Route,
                       Findings &Out) {
  std::string Where = whereOf("database", Route.Database);
  checkName(Where, Route.Database, Out);
  if (!Config.Groups.count(Route.Group))
    addError(Out, Where,
             "its group '" + shownText(Route.Group) +
                 "' is not listed; add the group or correct the name");
  checkRouteTimes(Where, Route, Out);
}

static void checkGroups(const ProxyConfig &Config, Findings &Out) {
  std::set<std::string> Used;
  for (const auto &[Name, Route] : Config.Routes)
    Used.insert(Route.Group);
  for (const auto &[Name, Limits] : Config.Groups) {
    std::string Where = whereOf("group", Name);
    checkName(Where, Name, Out);
    if (Limits.MaxConnections == 0)
      addError(Out, Where,
               "its targets take no connections; allow one or more");
    if (!Used.count(Name))
      addWarning(Out, Where,
                 "no route uses it; add a route or remove the group");
  }
}

static void checkMessageLimit(std::size_t Bytes, Findings &Out) {
  static const char *const Where = "limits of callers";
  if (Bytes == 0)
    return addError(Out, Where,
                    "requests may not have a single byte, so every request is "
                    "refused; allow more");
  if (Bytes < LeastPlausibleMessageBytes || Bytes > MostPlausibleMessageBytes)
    addWarning(Out, Where,
               "requests may have " + std::to_string(Bytes) +
                   " bytes, which is implausible; check the unit, usual are " +
                   std::to_string(LeastPlausibleMessageBytes) + " to " +
                   std::to_string(MostPlausibleMessageBytes));
}

static void checkCallers(const CallerLimits &Limits, Findings &Out) {
  static const char *const Where = "limits of callers";
  checkMessageLimit(Limits.MaxMessageBytes, Out);
  auto NeedTime = [&](Millis Value, const std::string &What) {
    if (Value <= Millis::zero())
      addError(Out, Where,
               "the timeout of " + What +
                   " is 0, so they end at once; set one above 0");
  };
  NeedTime(Limits.IncompleteMessage, "messages that have begun to arrive");
  NeedTime(Limits.IdleSession, "idle sessions");
  NeedTime(Limits.IdleTransaction, "idle transactions");
  if (Limits.IdleSession <= Millis::zero())
    return;
  auto CompareWithSession = [&](Millis Value, const std::string &What) {
    if (Value > Limits.IdleSession)
      addWarning(Out, Where,
                 "the timeout of " + What + " (" +
                     std::to_string(Value.count()) +
                     " ms) is longer than that of idle sessions (" +
                     std::to_string(Limits.IdleSession.count()) +
                     " ms); lower it, or raise the one of sessions");
  };
  CompareWithSession(Limits.IncompleteMessage,
                     "messages that have begun to arrive");
  CompareWithSession(Limits.IdleTransaction, "idle transactions");
}

static void checkRate(const std::string &Where, const RateLimit &Limit,
                      Findings &Out) {
  bool AdmitsNone = Limit.Burst < WholeOperation;
  if (Limit.PerSecond <= 0 && AdmitsNone)
    return addWarning(Out, Where,
                      "its rate is 0 and its burst below 1, so each of its "
                      "operations is refused; if that is not meant, raise them "
                      "or leave the limit out");
  if (Limit.PerSecond <= 0)
    return addWarning(Out, Where,
                      "its rate is 0, so only the burst is ever admitted; set "
                      "a rate above 0");
  if (AdmitsNone)
    addError(Out, Where,
             "its burst is below 1, so no whole operation is ever admitted, "
             "whatever the rate; set a burst of 1 or more");
}

/// Splits a text of AccountDirectory::problems(), "account 'a': why", into
/// place and reason. Names of accounts have no spaces, so the first quotation
/// mark before a space ends the name.
static ConfigFinding findingOf(const std::string &Problem) {
  static const std::string Prefix = "account '";
  ConfigFinding Out{
      .Level = Severity::Error, .Where = "accounts", .Text = Problem};
  std::size_t Colon = Problem.find("': ");
  std::size_t Space = Problem.find("' ");
  std::size_t End = std::min(Colon, Space);
  if (Problem.compare(0, Prefix.size(), Prefix) != 0 ||
      End == std::string::npos)
    return Out;
  Out.Where = Problem.substr(0, End + 1);
  // "': " has one character more than "' ".
  Out.Text = Problem.substr(End + (Colon < Space ? 3 : 2));
  return Out;
}

static bool isEveryRoutePublic(const ProxyConfig &Config) {
  return std::all_of(Config.Routes.begin(), Config.Routes.end(),
                     [](const auto &Each) { return Each.second.Public; });
}

/// Reports accounts that nobody can use, or that nobody needs.
static void checkAccountsOfRoutes(const ProxyConfig &Config, Findings &Out) {
  const std::vector<ClientAccount> &Accounts = Config.Accounts.accounts();
  bool HasKey =
      std::any_of(Accounts.begin(), Accounts.end(),
                  [](const ClientAccount &Each) { return !Each.Keys.empty(); });
  bool IsPublic = isEveryRoutePublic(Config);
  if (!HasKey && !IsPublic)
    addError(Out, "accounts",
             "callers need a key, and no account holds one, so they reach "
             "public routes only; add a key, or leave the list of accounts "
             "out");
  if (HasKey && IsPublic && !Config.Routes.empty())
    addWarning(Out, "accounts",
               "every route is public, so no key is ever needed; make a route "
               "not public, or leave the list of accounts out");
}

static void checkAccounts(const ProxyConfig &Config, Findings &Out) {
  if (!Config.Accounts.isEnabled())
    return;
  checkAccountsOfRoutes(Config, Out);
  std::set<std::string> Reported;
  for (const std::string &Problem : Config.Accounts.problems()) {
    Out.push_back(findingOf(Problem));
    Reported.insert(Out.back().Where);
  }
  for (const ClientAccount &Account : Config.Accounts.accounts()) {
    std::string Where = whereOf("account", Account.Name);
    // Where a problem tells why there is no key, nothing is added to it.
    if (Account.Keys.empty() && !Reported.count(Where))
      addError(Out, Where, "it has no key, so no caller can use it; add a key");
    if (Account.Limit)
      checkRate(Where, *Account.Limit, Out);
  }
}

} // namespace internal

std::vector<ConfigFinding> checkConfig(const ProxyConfig &Config) {
  internal::Findings Out;
  if (Config.Version == 0)
    internal::addError(
        Out, "version",
        "version 0 is never made active; number versions from 1 on");
  if (Config.Routes.empty())
    internal::addError(
        Out, "routes",
        "it lists no database, so every caller is refused; add a route");
  for (const auto &[Name, Route] : Config.Routes)
    internal::checkRoute(Config, Route, Out);
  internal::checkGroups(Config, Out);
  internal::checkCallers(Config.Callers, Out);
  internal::checkAccounts(Config, Out);
  return Out;
}

std::optional<ConfigFinding>
checkVersion(const std::vector<ConfigDifference> &Differences) {
  for (const ConfigDifference &Each : Differences)
    if (Each.What == ConfigDifference::Kind::VersionNotHigher)
      return ConfigFinding{.Level = ConfigFinding::Severity::Error,
                           .Where = "version",
                           .Text = "version " + Each.New +
                                   " is not higher than version " + Each.Old +
                                   " in force, so VMs ignore it; number it "
                                   "higher"};
  return std::nullopt;
}

std::vector<std::string> validateConfig(const ProxyConfig &Config) {
  std::vector<std::string> Out;
  for (const ConfigFinding &Each : checkConfig(Config))
    if (Each.Level == ConfigFinding::Severity::Error)
      Out.push_back(Each.Where + ": " + Each.Text);
  return Out;
}

std::string shownText(const std::string &Text, std::size_t MaxBytes) {
  std::string Out = Text.substr(0, internal::startBytes(Text, MaxBytes));
  std::replace_if(Out.begin(), Out.end(), internal::isControl, '?');
  if (Text.size() > MaxBytes)
    Out += "... (" + std::to_string(Text.size()) + " bytes)";
  return Out;
}

} // namespace cicadawind
