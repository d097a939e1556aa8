// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#define BOOST_TEST_MODULE ConfigPage
#include <boost/test/unit_test.hpp>

#include "Cli/ConfigCheckCommand.h"
#include "Cli/OperatorClient.h"
#include "Emulator/EmulatedStore.h"
#include "EntryDecoders.h"
#include "System/ProxyProcess.h"
#include "TestFlags.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace cicadawind;
using namespace cicadawind::test;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr Duration StartTimeout = 20s;
constexpr Duration RunInterval = 50ms;
constexpr Duration CallTimeout = 2s;

Json configuration() {
  return Json::parse(
      R"({"configVersion":7,"routes":[{"name":"r","host":"d","service":"g",)"
      R"("pathPrefix":"/","routeType":"primary","timeoutMs":1000,)"
      R"("targetLatencyMs":500,"priority":0,"attempts":2}],)"
      R"("services":[{"name":"g","maxConns":4,"syncReplicas":0}],)"
      R"("limits":{"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
      R"("idleTimeoutMs":15000,"txIdleMs":3000},"tenants":[{"name":"a",)"
      R"("apiKeys":["sesame-1","sesame-2"],"ratePerS":5,"burst":10}]})");
}

/// A store that runs on a thread of its own.
class RunningStore {
public:
  RunningStore() : Store(Loop, "127.0.0.1", 0) {
    Store.put(platform::ConfigKind, platform::ConfigName, configuration());
    Thread = std::thread([this] { Loop.run(); });
  }
  ~RunningStore() {
    Loop.stop();
    Thread.join();
  }
  RunningStore(const RunningStore &) = delete;
  RunningStore &operator=(const RunningStore &) = delete;
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Store.port());
  }

private:
  boost::asio::io_context Loop{1};
  emulator::EmulatedStore Store;
  std::thread Thread;
};

std::string addressOf(int Port) { return "127.0.0.1:" + std::to_string(Port); }

/// Calls the \p Port of a proxy.
Result<Json> callAt(int Port, const std::string &Path) {
  OperatorClient Client({});
  return Client.callAt(addressOf(Port), Path, nullptr, CallTimeout);
}

bool waitForVersion(int Port, std::uint64_t Version) {
  TimePoint End = BootClock::now() + StartTimeout;
  while (BootClock::now() < End) {
    Result<Json> Status = callAt(Port, "/status");
    if (!errorOf(Status) &&
        valueOf(Status).value("config_version", std::uint64_t{0}) == Version)
      return true;
    std::this_thread::sleep_for(RunInterval);
  }
  return false;
}

struct Outcome {
  int Code = -1;
  std::string Text;
};

/// Runs the real program with \p Arguments.
Outcome runProgram(const std::string &Arguments) {
  std::string Command = textFlag("programs", "build") +
                        "/cicadawindctl config check " + Arguments + " 2>&1";
  FILE *Pipe = popen(Command.c_str(), "r");
  BOOST_REQUIRE(Pipe);
  Outcome Out;
  char Part[4096];
  while (std::size_t Size = std::fread(Part, 1, sizeof Part, Pipe))
    Out.Text.append(Part, Size);
  Out.Code = WEXITSTATUS(pclose(Pipe));
  BOOST_TEST(Out.Text.find("sesame") == std::string::npos);
  return Out;
}

/// A file with the configuration \p Next, removed by the destructor.
class NextFile {
public:
  explicit NextFile(const Json &Next)
      : Path(std::filesystem::temp_directory_path() /
             ("cicadawind-next-" + std::to_string(::getpid()))) {
    std::ofstream(Path) << Next.dump();
  }
  ~NextFile() { std::filesystem::remove(Path); }
  NextFile(const NextFile &) = delete;
  NextFile &operator=(const NextFile &) = delete;
  std::string flag() const { return "--file=" + Path.string(); }

private:
  std::filesystem::path Path;
};

/// A proxy on which the configuration is active.
struct ProxyFixture {
  ProxyFixture()
      : Proxy({.Programs = textFlag("programs", "build"),
               .StoreAddress = Store.address()}) {
    Proxy.start();
    BOOST_REQUIRE(waitForVersion(Proxy.operators(), 7));
  }
  std::string flag() const { return "--vm=" + addressOf(Proxy.operators()); }
  RunningStore Store;
  ProxyProcess Proxy;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(theVersionInForceIsAskedOfAProxy, ProxyFixture) {
  NextFile Same(configuration());
  Outcome Unchanged = runProgram(Same.flag() + " " + flag());
  BOOST_TEST(Unchanged.Code == static_cast<int>(ConfigCheckExit::Ok));
  BOOST_TEST(Unchanged.Text == "findings: 0, differences: 0\n");
  Json Next = configuration();
  Next["configVersion"] = 8;
  Next["tenants"][0]["apiKeys"] = {"sesame-2", "sesame-3", "sesame-4"};
  Next["tenants"][0]["ratePerS"] = 4;
  NextFile Changed(Next);
  Outcome Seen = runProgram(Changed.flag() + " " + flag() + " --json");
  BOOST_TEST(Seen.Code == static_cast<int>(ConfigCheckExit::Ok));
  Json Expected = Json::parse(
      R"([{"kind":"keys_added","name":"a","field":"","old":"","new":"2"},)"
      R"({"kind":"keys_removed","name":"a","field":"","old":"1","new":""},)"
      R"({"kind":"rate_limit_lowered","name":"a","field":"per_second",)"
      R"("old":"5","new":"4"}])");
  BOOST_TEST(Json::parse(Seen.Text)["differences"] == Expected);
}

// The page names accounts, which peers and collectors of metrics need not know.
BOOST_FIXTURE_TEST_CASE(onlyOperatorsGetThePage, ProxyFixture) {
  Result<Json> Page = callAt(Proxy.operators(), "/configuration");
  BOOST_REQUIRE(!errorOf(Page));
  BOOST_TEST(valueOf(Page)["version"] == 7);
  BOOST_TEST(valueOf(Page).dump().find("sesame") == std::string::npos);
  for (int Port : {Proxy.metrics(), Proxy.peers(), Proxy.readiness()}) {
    Result<Json> Other = callAt(Port, "/configuration");
    bool ShowsNone = errorOf(Other) || !valueOf(Other).contains("routes");
    BOOST_TEST(ShowsNone, Port);
  }
}

BOOST_AUTO_TEST_CASE(aProxyWithoutConfigurationHasNoVersionInForce) {
  ProxyProcess Proxy({.Programs = textFlag("programs", "build")});
  Proxy.start();
  BOOST_REQUIRE(Proxy.waitForAnswer());
  BOOST_REQUIRE(waitForVersion(Proxy.operators(), 0));
  NextFile Next(configuration());
  Outcome Seen =
      runProgram(Next.flag() + " --vm=" + addressOf(Proxy.operators()));
  BOOST_TEST(Seen.Code ==
             static_cast<int>(ConfigCheckExit::InForceUnavailable));
  BOOST_TEST(Seen.Text.find("no configuration is active") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(theProgramTellsWrongUsage) {
  BOOST_TEST(runProgram("").Code == static_cast<int>(ConfigCheckExit::Errors));
}
