#include "Settings/ProxySettings.h"

#include "Settings/SettingsReader.h"

#include <fstream>
#include <sstream>

namespace cicadawind {
namespace internal {

constexpr std::int64_t MaxPort = 65535;
/// A lease must outlast a few requests to replicas that are slow, and must end
/// before a promotion that waits for it exceeds its timeout.
constexpr std::int64_t MinLeaseMs = 300;
constexpr std::int64_t MaxLeaseMs = 2500;

/// Long enough for a request that is under way to arrive.
constexpr std::int64_t MinDrainMs = 1000;
constexpr std::int64_t MaxDrainMs = 3600000;

constexpr std::int64_t MaxToleratedOperations = 100000;
/// Several times the lifetime of a permit.
constexpr Millis MinLimitWindow = std::chrono::seconds(1);
constexpr Millis MaxLimitWindow = std::chrono::hours(1);

constexpr Millis MinGracePeriod = std::chrono::seconds(1);
constexpr Millis MaxGracePeriod = std::chrono::hours(1);

static std::string endpoint(SettingsReader &Reader, const char *Section,
                            const char *Key) {
  std::string Text = Reader.text(Section, Key);
  Reader.checkEndpoint(Section, Key, Text);
  return Text;
}

static void readDaemon(SettingsReader &Reader, ProxySettings &Out) {
  Out.Vm = Reader.text("daemon", "vm");
  Out.FailureDomain = Reader.text("daemon", "failure_domain");
  Out.Region = Reader.text("daemon", "region");
  Out.LogLevel = Reader.textOr("daemon", "log_level", "info");
  if (Out.LogLevel != "debug" && Out.LogLevel != "info" &&
      Out.LogLevel != "warning" && Out.LogLevel != "error")
    Reader.addError("daemon", "log_level",
                    "must be one of debug, info, warning, error");
  for (const std::string &Assignment : Reader.texts("daemon", "regions")) {
    std::size_t Equals = Assignment.find('=');
    if (Equals == std::string::npos || Equals == 0)
      Reader.addError("daemon", "regions", "must hold 'failure domain=region'");
    else
      Out.Regions[Assignment.substr(0, Equals)] = Assignment.substr(Equals + 1);
  }
}

static void readPeers(SettingsReader &Reader, ProxySettings &Out) {
  Out.PeerPort = static_cast<std::uint16_t>(
      Reader.number("peers", "first_port", 1, MaxPort));
  std::int64_t Last = Reader.number("peers", "last_port", 1, MaxPort);
  if (Last <= Out.PeerPort)
    Reader.addError("peers", "last_port", "must be above first_port");
  Out.RelayPort = static_cast<std::uint16_t>(Out.PeerPort + 1);
  Out.Seeds = Reader.texts("peers", "seeds");
  for (const std::string &Seed : Out.Seeds)
    Reader.checkEndpoint("peers", "seeds", Seed);
}

static RateTolerance readLimitTolerance(SettingsReader &Reader) {
  RateTolerance Out;
  Out.Operations = static_cast<unsigned>(Reader.numberOr(
      "limits", "quota_tolerance", 0, 0, MaxToleratedOperations));
  Out.Fraction = Reader.decimalOr("limits", "quota_overage", 0, 0, 1);
  Out.Window = Reader.secondsOr("limits", "quota_window_s", Out.Window,
                                MinLimitWindow, MaxLimitWindow);
  return Out;
}

} // namespace internal

ProxySettings::Changes
ProxySettings::changesTo(const ProxySettings &Newer) const {
  Changes Out;
  auto Compare = [](std::string &List, const char *Name, bool Same) {
    if (!Same)
      List += (List.empty() ? "" : " ") + std::string(Name);
  };
  Compare(Out.Applied, "log_level", LogLevel == Newer.LogLevel);
  Compare(Out.Applied, "seeds", Seeds == Newer.Seeds);
  Compare(Out.Applied, "grace_s",
          TerminationGracePeriod == Newer.TerminationGracePeriod);
  Compare(Out.AtRestart, "vm", Vm == Newer.Vm);
  Compare(Out.AtRestart, "failure_domain",
          FailureDomain == Newer.FailureDomain);
  Compare(Out.AtRestart, "region", Region == Newer.Region);
  Compare(Out.AtRestart, "regions", Regions == Newer.Regions);
  Compare(Out.AtRestart, "address", Address == Newer.Address);
  Compare(Out.AtRestart, "bind_address", BindAddress == Newer.BindAddress);
  Compare(Out.AtRestart, "callers", CallerAddress == Newer.CallerAddress);
  Compare(Out.AtRestart, "readiness",
          ReadinessAddress == Newer.ReadinessAddress);
  Compare(Out.AtRestart, "operators", OperatorAddress == Newer.OperatorAddress);
  Compare(Out.AtRestart, "metrics", Metrics == Newer.Metrics);
  Compare(Out.AtRestart, "first_port", PeerPort == Newer.PeerPort);
  Compare(Out.AtRestart, "store", StoreAddress == Newer.StoreAddress);
  Compare(Out.AtRestart, "orders", PromotionAddress == Newer.PromotionAddress);
  Compare(Out.AtRestart, "fencing_enforced",
          PlatformFences == Newer.PlatformFences);
  Compare(Out.AtRestart, "lease_ms", LeaseLength == Newer.LeaseLength);
  Compare(Out.AtRestart, "drain_ms", TargetDrainTime == Newer.TargetDrainTime);
  Compare(Out.AtRestart, "pool_scarce_connections",
          PoolsScarceConnections == Newer.PoolsScarceConnections);
  Compare(Out.AtRestart, "slow_start", SlowStart == Newer.SlowStart);
  Compare(Out.AtRestart, "max_descriptors",
          MaxDescriptors == Newer.MaxDescriptors);
  Compare(Out.AtRestart, "quota_tolerance",
          LimitTolerance.Operations == Newer.LimitTolerance.Operations);
  Compare(Out.AtRestart, "quota_overage",
          LimitTolerance.Fraction == Newer.LimitTolerance.Fraction);
  Compare(Out.AtRestart, "quota_window_s",
          LimitTolerance.Window == Newer.LimitTolerance.Window);
  return Out;
}

Result<ProxySettings> ProxySettings::load(const std::string &Path) {
  std::ifstream File(Path);
  if (!File) {
    ErrorList Errors(Path);
    Errors.add(1, "cannot read the settings file");
    return Errors.error();
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  return parse(Text.str(), Path);
}

Result<ProxySettings> ProxySettings::parse(const std::string &Text,
                                           const std::string &Origin) {
  ErrorList Errors(Origin);
  toml::table Table;
  try {
    Table = toml::parse(Text);
  } catch (const toml::parse_error &E) {
    Errors.add(E.source().begin.line, std::string(E.description()));
    return Errors.error();
  }
  internal::SettingsReader Reader(Table, Errors);
  ProxySettings Out;
  internal::readDaemon(Reader, Out);
  Out.Address = Reader.text("listen", "address");
  Out.BindAddress = Reader.textOr("listen", "bind_address", Out.Address);
  Reader.checkAddress("listen", "address", Out.Address);
  Reader.checkAddress("listen", "bind_address", Out.BindAddress);
  Out.CallerAddress = internal::endpoint(Reader, "listen", "callers");
  Out.ReadinessAddress = internal::endpoint(Reader, "listen", "readiness");
  Out.OperatorAddress = Reader.textOr("listen", "operators", "");
  Reader.checkEndpoint("listen", "operators", Out.OperatorAddress);
  Out.Metrics = Reader.textOr("listen", "metrics", "");
  Reader.checkEndpoint("listen", "metrics", Out.Metrics);
  internal::readPeers(Reader, Out);
  Out.StoreAddress = internal::endpoint(Reader, "platform", "store");
  Out.PromotionAddress = internal::endpoint(Reader, "platform", "orders");
  Out.PlatformFences = Reader.booleanOr("platform", "fencing_enforced", false);
  Out.LeaseLength =
      Millis(Reader.numberOr("leases", "lease_ms", Out.LeaseLength.count(),
                             internal::MinLeaseMs, internal::MaxLeaseMs));
  Out.TargetDrainTime = Millis(
      Reader.numberOr("platform", "drain_ms", Out.TargetDrainTime.count(),
                      internal::MinDrainMs, internal::MaxDrainMs));
  Out.PoolsScarceConnections =
      Reader.booleanOr("targets", "pool_scarce_connections", false);
  Out.SlowStart = Reader.booleanOr("targets", "slow_start", false);
  constexpr std::int64_t MinDescriptors = 256;
  Out.MaxDescriptors = static_cast<std::size_t>(Reader.numberOr(
      "limits", "max_descriptors", 4096, MinDescriptors, 10000000));
  Out.LimitTolerance = internal::readLimitTolerance(Reader);
  Out.TerminationGracePeriod =
      Reader.secondsOr("limits", "grace_s", Out.TerminationGracePeriod,
                       internal::MinGracePeriod, internal::MaxGracePeriod);
  Reader.reportUnknown();
  if (!Errors.empty())
    return Errors.error();
  return Out;
}

} // namespace cicadawind
