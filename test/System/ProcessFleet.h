#ifndef CICADAWIND_TEST_SYSTEM_PROCESSFLEET_H
#define CICADAWIND_TEST_SYSTEM_PROCESSFLEET_H

#include "Core/Clock.h"
#include "Http/HttpMessage.h"
#include "System/PortBlock.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cicadawind::test {

/// \class ProcessFleet
/// \brief One user's system in small as real processes on free ports.
///
/// A stand-in platform, databases of three instances (a, b, c, one in each of
/// three failure domains) and VMs with a router and a pooler each. Waits are
/// for states, bounded only by a generous limit. Stops what it started.
class ProcessFleet {
public:
  struct Options {
    /// Folder of the programs and of the repository.
    std::string Programs;
    std::string Source;
    /// VMs in each of the three failure domains.
    std::vector<int> VmsPerDomain = {1, 1, 1};
    int Databases = 1;
    Millis ConnectTime = Millis(12);
    int Connections = 16;
    /// Setting failover.suspect_after_ms; zero leaves the default.
    Millis SuspectAfter = Millis(0);
  };
  using Json = nlohmann::json;

  explicit ProcessFleet(Options Opts);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet &) = delete;
  ProcessFleet &operator=(const ProcessFleet &) = delete;

  /// Starts everything, submits the first note and waits until writes work.
  void start();

  std::size_t vmCount() const { return Vms.size(); }
  static std::string databaseName(int Number) {
    return "db-" + std::to_string(Number);
  }

  /// Calls the callers' interface of VM \p Vm (from 0). A call without an
  /// answer gives {"verdict":"no_answer"}.
  Json call(std::size_t Vm, const std::string &Path, Json Body);
  Json write(std::size_t Vm, const std::string &Session,
             const std::string &Statement, Json More = Json::object());
  Json read(std::size_t Vm, const std::string &Session,
            const std::string &Statement, Json More = Json::object());
  /// Repeats \p Attempt until it returns true.
  static void waitFor(const std::string &What,
                      const std::function<bool()> &Attempt);

  Json instance(const std::string &Name, const std::string &Path,
                const Json &Body);
  Json platform(const std::string &Path, const Json &Body);
  /// Operator call to the pooler of VM \p Vm; null when not reached.
  Json operate(std::size_t Vm, const std::string &Path, const Json &Body,
               bool Router = false);
  int status(std::size_t Vm, const std::string &Path, bool Router);

  void signal(const std::string &Process, int Number);
  /// Waits until the process has ended; its exit code, or -1 for a signal.
  int waitForEnd(const std::string &Process);
  void startVm(std::size_t Vm);
  void setVmState(std::size_t Vm, const std::string &State);
  static std::string routerOf(std::size_t Vm);
  static std::string poolerOf(std::size_t Vm);
  std::string primaryOf(const std::string &Database);
  /// Settings file of a VM.
  std::string settingsOf(std::size_t Vm) const;
  std::string addressOf(const std::string &Name) const;
  /// Callers' interface of VM \p Vm, "ip:port".
  std::string callerAddress(std::size_t Vm) const;
  pid_t pidOf(const std::string &Process) const {
    return Processes.at(Process);
  }
  /// Calls that the platform has served so far.
  double storeCalls();
  std::string firstNote() const;

private:
  struct VmPorts {
    int Caller;
    int Router;
    int Pooler;
    int Domain;
  };

  void spawnProcess(const std::string &Name,
                    const std::vector<std::string> &Command);
  void writeFiles();
  static Json request(const std::string &Address, const HttpRequest &Request,
                      Duration Limit, int *Status = nullptr);

  Options Opts;
  PortBlock Ports;
  std::string Folder;
  int PlatformPort = 0;
  std::vector<VmPorts> Vms;
  std::map<std::string, int> InstancePorts;
  std::map<std::string, pid_t> Processes;
};

} // namespace cicadawind::test

#endif
