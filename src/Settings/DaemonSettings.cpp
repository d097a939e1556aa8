#include "Settings/DaemonSettings.h"

#include "Settings/SettingsReader.h"

#include <boost/asio/ip/address.hpp>

#include <fstream>
#include <sstream>

namespace cicadawind {
namespace internal {

/// Length of the shortest permitted key, in bytes.
constexpr std::size_t MinKeyBytes = 16;

static std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Returns the contents of the key file \p Path without trailing line ends, or
/// an empty string if the file cannot be read.
static std::string readKey(SettingsReader &Reader, const std::string &Key,
                           const std::string &Path) {
  if (Path.empty())
    return {};
  std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    Reader.addError("keys", Key, "cannot read '" + Path + "'");
    return {};
  }
  Text->erase(Text->find_last_not_of("\r\n") + 1);
  if (Text->size() < MinKeyBytes)
    Reader.addError("keys", Key,
                    "'" + Path + "' holds fewer than " +
                        std::to_string(MinKeyBytes) + " bytes");
  return *Text;
}

static void readKeys(SettingsReader &Reader, DaemonSettings &Out) {
  std::vector<std::string> Files = Reader.texts("keys", "session_key_files");
  if (Files.empty())
    Reader.addError("keys", "session_key_files", "must name at least one file");
  for (const std::string &File : Files)
    Out.SessionKeys.push_back(readKey(Reader, "session_key_files", File));
  Out.OperatorKey = readKey(Reader, "operator_key_file",
                            Reader.text("keys", "operator_key_file"));
  Out.PeerKey =
      readKey(Reader, "peer_key_file", Reader.text("keys", "peer_key_file"));
}

static void readListen(SettingsReader &Reader, DaemonSettings &Out) {
  constexpr std::int64_t MaxPort = 65535;
  auto Port = [&](const char *Key) {
    return static_cast<std::uint16_t>(Reader.number("listen", Key, 1, MaxPort));
  };
  Out.Address = Reader.text("listen", "address");
  boost::system::error_code Code;
  boost::asio::ip::make_address(Out.Address, Code);
  if (Code && !Out.Address.empty())
    Reader.addError("listen", "address", "must be an IP address");
  Out.CallerPort = Port("caller_port");
  Out.RouterPeerPort = Port("router_peer_port");
  Out.PoolerPeerPort = Port("pooler_peer_port");
}

} // namespace internal

Result<DaemonSettings> DaemonSettings::load(const std::string &Path) {
  ErrorList Errors(Path);
  std::optional<std::string> Text = internal::readFile(Path);
  if (!Text) {
    Errors.add(1, "cannot read the settings file");
    return Errors.error();
  }
  toml::table Table;
  try {
    Table = toml::parse(*Text);
  } catch (const toml::parse_error &E) {
    Errors.add(E.source().begin.line, std::string(E.description()));
    return Errors.error();
  }
  internal::SettingsReader Reader(Table, Errors);
  DaemonSettings Out;
  Out.Vm = Reader.text("daemon", "vm");
  Out.FailureDomain = Reader.text("daemon", "failure_domain");
  Out.Region = Reader.text("daemon", "region");
  Out.Charts = Reader.textOr("daemon", "charts", "charts");
  Out.LogLevel = Reader.textOr("daemon", "log_level", "info");
  Out.TraceFile = Reader.textOr("daemon", "trace_file", "");
  if (Out.LogLevel != "debug" && Out.LogLevel != "info" &&
      Out.LogLevel != "warning" && Out.LogLevel != "error")
    Reader.addError("daemon", "log_level",
                    "must be one of debug, info, warning, error");
  internal::readListen(Reader, Out);
  Out.Platform = Reader.text("platform", "address");
  Reader.checkEndpoint("platform", "address", Out.Platform);
  Out.Seeds = Reader.texts("peers", "seeds");
  for (const std::string &Seed : Out.Seeds)
    Reader.checkEndpoint("peers", "seeds", Seed);
  internal::readKeys(Reader, Out);
  Out.MaxBodyBytes = static_cast<std::size_t>(
      Reader.numberOr("limits", "max_body_bytes", std::int64_t{256} * 1024,
                      1024, std::int64_t{8} * 1024 * 1024));
  Out.MaxConnectionsPerCaller = static_cast<std::size_t>(Reader.numberOr(
      "limits", "max_connections_per_caller", 16384, 1, 1000000));
  Out.SuspectAfter =
      Millis(Reader.numberOr("failover", "suspect_after_ms", 600, 200, 60000));
  Reader.reportUnknown();
  if (!Errors.empty())
    return Errors.error();
  return Out;
}

} // namespace cicadawind
