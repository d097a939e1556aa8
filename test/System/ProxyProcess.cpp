#include "System/ProxyProcess.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace cicadawind::test {

constexpr Duration WaitTimeout = std::chrono::seconds(20);
constexpr Duration PollInterval = std::chrono::milliseconds(10);
constexpr timeval CallTimeout{.tv_sec = 2, .tv_usec = 0};

static bool waitUntil(const std::function<bool()> &Condition) {
  TimePoint End = BootClock::now() + WaitTimeout;
  while (!Condition()) {
    if (BootClock::now() > End)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

ProxyProcess::ProxyProcess(Options NewOpts) : Opts(std::move(NewOpts)) {
  char Template[] = "/tmp/cicadawind-proxy-XXXXXX";
  if (!mkdtemp(Template))
    throw std::runtime_error("cannot create a folder");
  Folder = Template;
  Callers = Ports.next();
  Readiness = Ports.next();
  Operators = Ports.next();
  MetricsPort = Ports.next();
  FirstPeerPort = Opts.PeerPort != 0 ? Opts.PeerPort : Ports.nextPair();
  restoreSettings();
}

ProxyProcess::~ProxyProcess() {
  if (Pid != 0 && !ended()) {
    kill(Pid, SIGKILL);
    waitForEnd();
  }
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

std::string ProxyProcess::settings() const {
  auto Endpoint = [](int Port) {
    return "\"127.0.0.1:" + std::to_string(Port) + "\"\n";
  };
  std::string Seeds;
  for (const std::string &Each : Opts.Seeds)
    Seeds += "\"" + Each + "\",";
  std::ostringstream Out;
  Out << "[daemon]\nvm = \"" << Opts.Vm
      << "\"\nfailure_domain = \"d1\"\nregion = \"r1\"\n"
      << "regions = [\"d1=r1\"]\n[listen]\naddress = \"" << Opts.Address
      << "\"\nbind_address = \"" << Opts.BindAddress << "\"\n"
      << "callers = " << Endpoint(Callers)
      << "readiness = " << Endpoint(Readiness)
      << "operators = " << Endpoint(Operators)
      << "metrics = " << Endpoint(MetricsPort)
      << "[peers]\nfirst_port = " << FirstPeerPort
      << "\nlast_port = " << FirstPeerPort + 1 << "\nseeds = [" << Seeds
      << "]\n"
      << "[platform]\nstore = \"" << Opts.StoreAddress
      << "\"\norders = \"127.0.0.1:1\"\n"
      << "fencing_enforced = true\n[limits]\nmax_descriptors = 4300\n"
      << "grace_s = 1\n";
  return Out.str();
}

void ProxyProcess::truncateSettings() const {
  std::filesystem::resize_file(settingsPath(), settings().size() / 2);
}

void ProxyProcess::restoreSettings() const {
  std::ofstream(settingsPath()) << settings();
}

void ProxyProcess::withholdSettings() {
  std::filesystem::remove(settingsPath());
  if (mkfifo(settingsPath().c_str(), 0600) != 0)
    throw std::runtime_error("cannot create a pipe");
}

void ProxyProcess::waitForSettingsToBeRead() {
  // The call returns once the process has opened the other end.
  SettingsPipe = open(settingsPath().c_str(), O_WRONLY | O_CLOEXEC);
}

void ProxyProcess::provideSettings() {
  std::string Text = settings();
  std::ofstream(settingsPath() + ".new") << Text;
  std::filesystem::rename(settingsPath() + ".new", settingsPath());
  if (write(SettingsPipe, Text.data(), Text.size()) < 0)
    throw std::runtime_error("the process does not read its settings");
  close(SettingsPipe);
}

void ProxyProcess::start() {
  std::string Program = Opts.Programs + "/cicadawind-proxy";
  std::string Flag = "--settings=" + settingsPath();
  std::string Variable = "CICADAWIND_BOOT=" + settingsPath();
  std::string Log = Folder + "/log";
  char *Arguments[] = {
      Program.data(), Opts.NamedByEnvironment ? nullptr : Flag.data(), nullptr};
  char *Environment[] = {Opts.NamedByEnvironment ? Variable.data() : nullptr,
                         nullptr};
  Status.reset();
  Pid = fork();
  if (Pid < 0)
    throw std::runtime_error("cannot fork");
  if (Pid > 0)
    return;
  // Only functions that are safe after a fork are called here.
  int Output = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  if (Opts.MaxDescriptors != 0) {
    rlimit Limit{.rlim_cur = Opts.MaxDescriptors,
                 .rlim_max = Opts.MaxDescriptors};
    setrlimit(RLIMIT_NOFILE, &Limit);
  }
  execve(Program.c_str(), Arguments, Environment);
  _exit(127);
}

void ProxyProcess::signal(int Number) { kill(Pid, Number); }

std::optional<int> ProxyProcess::ended() {
  int Code = 0;
  if (!Status && waitpid(Pid, &Code, WNOHANG) == Pid)
    Status = Code;
  return Status;
}

bool ProxyProcess::waitForEnd() {
  return waitUntil([this] { return ended().has_value(); });
}

bool ProxyProcess::waitForAnswer() {
  return waitUntil([this] { return ended() || answers(Readiness); }) &&
         !ended();
}

bool ProxyProcess::answers(int Port) const {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &CallTimeout, sizeof CallTimeout);
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &CallTimeout, sizeof CallTimeout);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string Request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  char Byte = 0;
  bool Answered =
      connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
          0 &&
      send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) > 0 &&
      recv(Socket, &Byte, 1, 0) == 1;
  close(Socket);
  return Answered;
}

std::size_t ProxyProcess::logLines() const {
  std::ifstream Log(Folder + "/log");
  return static_cast<std::size_t>(
      std::count(std::istreambuf_iterator<char>(Log), {}, '\n'));
}

} // namespace cicadawind::test
