#define BOOST_TEST_MODULE ProxySettings
#include <boost/test/unit_test.hpp>

#include "Settings/ProxySettings.h"

using namespace cicadawind;

namespace {

const std::string ValidSettings = R"([daemon]
vm = "vm-1"
failure_domain = "oaxaca"
region = "centro-sur"
regions = ["oaxaca=centro-sur","queretaro=bajio"]
log_level = "info"
[listen]
address = "10.1.0.8"
callers = "10.1.0.8:8784"
readiness = "10.1.0.8:8785"
operators = "10.1.0.8:8782"
metrics = "10.1.0.8:9464"
[peers]
first_port = 7440
last_port = 7455
seeds = ["10.1.0.8:8782"]
[platform]
store = "10.200.1.7:8783"
orders = "10.200.0.160:8783"
fencing_enforced = true
drain_ms = 10000
[targets]
slow_start = true
[limits]
max_descriptors = 4300
grace_s = 6
quota_tolerance = 20
)";

/// Returns the valid settings with \p Old replaced by \p New.
std::string with(const std::string &Old, const std::string &New) {
  std::string Text = ValidSettings;
  Text.replace(Text.find(Old), Old.size(), New);
  return Text;
}

} // namespace

BOOST_AUTO_TEST_CASE(validSettingsAreParsed) {
  Result<ProxySettings> Read = ProxySettings::parse(ValidSettings, "s.toml");
  BOOST_REQUIRE(!errorOf(Read));
  const ProxySettings &Parsed = valueOf(Read);
  BOOST_TEST(Parsed.Vm == "vm-1");
  BOOST_TEST(Parsed.Regions.at("queretaro") == "bajio");
  BOOST_TEST(Parsed.PeerPort == 7440);
  BOOST_TEST(Parsed.RelayPort == 7441);
  BOOST_TEST(Parsed.TerminationGracePeriod.count() == 6000);
  BOOST_TEST(Parsed.TargetDrainTime.count() == 10000);
  BOOST_TEST(Parsed.LimitTolerance.Operations == 20);
  BOOST_TEST(!Parsed.PoolsScarceConnections);
  BOOST_TEST(Parsed.SlowStart);
}

BOOST_AUTO_TEST_CASE(connectionsArePooledOnlyWhereTheSettingsSaySo) {
  Result<ProxySettings> Read = ProxySettings::parse(
      with("slow_start = true",
           "slow_start = true\npool_scarce_connections = true"),
      "s.toml");
  BOOST_REQUIRE(!errorOf(Read));
  BOOST_TEST(valueOf(Read).PoolsScarceConnections);
  Result<ProxySettings> Before = ProxySettings::parse(ValidSettings, "s.toml");
  BOOST_REQUIRE(!errorOf(Before));
  BOOST_TEST(valueOf(Before).changesTo(valueOf(Read)).AtRestart ==
             "pool_scarce_connections");
}

BOOST_AUTO_TEST_CASE(aVmListensOnItsAddressUnlessItIsToldAnother) {
  Result<ProxySettings> Same = ProxySettings::parse(ValidSettings, "s.toml");
  BOOST_REQUIRE(!errorOf(Same));
  BOOST_TEST(valueOf(Same).BindAddress == "10.1.0.8");
  Result<ProxySettings> Other = ProxySettings::parse(
      with("[listen]\n", "[listen]\nbind_address = \"10.9.0.1\"\n"), "s.toml");
  BOOST_REQUIRE(!errorOf(Other));
  BOOST_TEST(valueOf(Other).Address == "10.1.0.8");
  BOOST_TEST(valueOf(Other).BindAddress == "10.9.0.1");
}

BOOST_AUTO_TEST_CASE(eachErrorIsReportedWithItsLine) {
  struct Case {
    std::string Old;
    std::string New;
    std::string ExpectedError;
  };
  const std::vector<Case> Table{
      {"vm = \"vm-1\"", "vm = 5", "s.toml:2: daemon.vm"},
      {"\"info\"", "\"loud\"", "daemon.log_level"},
      {"oaxaca=centro-sur", "oaxaca", "daemon.regions"},
      {"10.1.0.8:8784", "10.1.0.8", "listen.callers"},
      {"address = \"10.1.0.8\"", "address = \"here\"", "listen.address"},
      {"[listen]\n", "[listen]\nbind_address = \"here\"\n",
       "listen.bind_address"},
      {"10.1.0.8:9464", "here", "listen.metrics"},
      {"10.1.0.8:8785", "10.1.0.8:ready", "listen.readiness"},
      {"10.1.0.8:8785", "10.1.0.8:70000", "listen.readiness"},
      {"last_port = 7455", "last_port = 7440", "peers.last_port"},
      {"first_port = 7440", "first_port = 99999", "peers.first_port"},
      {"store = ", "shop = ", "platform.store"},
      {"grace_s = 6", "grace_s = 0", "limits.grace_s"},
      {"drain_ms = 10000", "drain_ms = 0", "platform.drain_ms"},
      {"quota_tolerance = 20", "quota_tolerance = -1",
       "limits.quota_tolerance"},
      {"slow_start = true", "slow_start = 1", "targets.slow_start"},
      {"[limits]", "[limits", "s.toml:"},
  };
  for (const Case &Each : Table) {
    BOOST_TEST_CONTEXT(Each.New) {
      Result<ProxySettings> Read =
          ProxySettings::parse(with(Each.Old, Each.New), "s.toml");
      const Error *E = errorOf(Read);
      BOOST_REQUIRE(E);
      BOOST_TEST(E->Message.find(Each.ExpectedError) != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(allErrorsAreReportedTogether) {
  Result<ProxySettings> Read = ProxySettings::parse("", "s.toml");
  const Error *E = errorOf(Read);
  BOOST_REQUIRE(E);
  for (const char *Key : {"daemon.vm", "listen.callers", "platform.store"})
    BOOST_TEST(E->Message.find(Key) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(changesTellWhichSettingsNeedARestart) {
  Result<ProxySettings> Old = ProxySettings::parse(ValidSettings, "s.toml");
  Result<ProxySettings> New =
      ProxySettings::parse(with("\"info\"", "\"debug\""), "s.toml");
  ProxySettings::Changes Level = valueOf(Old).changesTo(valueOf(New));
  BOOST_TEST(Level.Applied == "log_level");
  BOOST_TEST(Level.AtRestart == "");
  New = ProxySettings::parse(with("10.1.0.8:8784", "10.1.0.8:1"), "s.toml");
  BOOST_TEST(valueOf(Old).changesTo(valueOf(New)).AtRestart == "callers");
  New = ProxySettings::parse(with("quota_tolerance = 20\n", ""), "s.toml");
  BOOST_TEST(valueOf(New).LimitTolerance.Operations == 0);
  BOOST_TEST(valueOf(Old).changesTo(valueOf(New)).AtRestart ==
             "quota_tolerance");
}

// The platform's figures may be fractions.
BOOST_AUTO_TEST_CASE(figuresMayBeFractions) {
  auto Parse = [](const std::string &Old, const std::string &New) {
    Result<ProxySettings> Read =
        ProxySettings::parse(with(Old, New), "settings.toml");
    BOOST_TEST_CONTEXT(New) { BOOST_REQUIRE(!errorOf(Read)); }
    return valueOf(Read);
  };
  BOOST_TEST(
      Parse("grace_s = 6", "grace_s = 5.5").TerminationGracePeriod.count() ==
      5500);
  BOOST_TEST(Parse("max_descriptors = 4300", "max_descriptors = 4300.0")
                 .MaxDescriptors == 4300);
  BOOST_TEST(Parse("first_port = 7440", "first_port = 7440.0").PeerPort ==
             7440);
  for (const char *Each : {"grace_s = nan", "grace_s = inf", "grace_s = -0.5",
                           "grace_s = 1e300", "grace_s = 0.2"})
    BOOST_TEST(errorOf(
        ProxySettings::parse(with("grace_s = 6", Each), "settings.toml")));
  BOOST_TEST(errorOf(ProxySettings::parse(
      with("first_port = 7440", "first_port = 7440.5"), "settings.toml")));
}

// The platform leaves out settings that it does not have.
BOOST_AUTO_TEST_CASE(settingsThatMayBeMissingHaveDefaults) {
  std::string Text = ValidSettings;
  for (const char *Each :
       {"operators = \"10.1.0.8:8782\"\n", "max_descriptors = 4300\n",
        "grace_s = 6\n", "fencing_enforced = true\n", "drain_ms = 10000\n",
        "[targets]\nslow_start = true\n",
        "regions = [\"oaxaca=centro-sur\",\"queretaro=bajio\"]\n"})
    Text.replace(Text.find(Each), std::string(Each).size(), "");
  Result<ProxySettings> Read = ProxySettings::parse(Text, "settings.toml");
  BOOST_REQUIRE(!errorOf(Read));
  BOOST_TEST(valueOf(Read).MaxDescriptors == 4096);
  BOOST_TEST(valueOf(Read).TerminationGracePeriod.count() == 6000);
  BOOST_TEST(valueOf(Read).TargetDrainTime.count() == 7000);
  BOOST_TEST(!valueOf(Read).SlowStart);
  // A lease is safe with and without fencing.
  BOOST_TEST(!valueOf(Read).PlatformFences);
}
