// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Daemons/DaemonStart.h"

#include "Observability/Log.h"
#include "Observability/Span.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "TOML settings file of this VM's daemons");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace cicadawind {

const char *const ProgramVersion = "0.1.0";

namespace internal {

constexpr int InvalidSettingsExitCode = 2;
constexpr int ExceptionExitCode = 1;

} // namespace internal

int startDaemon(int Argc, char **Argv, DaemonRole Role,
                const std::function<void(DaemonRuntime &)> &Serve) {
  gflags::SetVersionString(ProgramVersion);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (FLAGS_settings.empty()) {
    std::cerr << "missing flag --settings=FILE; see --help\n";
    return internal::InvalidSettingsExitCode;
  }
  Result<DaemonSettings> Settings = DaemonSettings::load(FLAGS_settings);
  if (const Error *E = errorOf(Settings)) {
    std::cerr << E->Message << "\n";
    return internal::InvalidSettingsExitCode;
  }
  Result<ChartSet> Charts = ChartSet::load(valueOf(Settings).Charts);
  if (const Error *E = errorOf(Charts)) {
    std::cerr << E->Message << "\n";
    return internal::InvalidSettingsExitCode;
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": ok\n";
    return 0;
  }
  const DaemonSettings &Checked = valueOf(Settings);
  std::string Name = Role == DaemonRole::Router ? "router" : "pooler";
  Log::start(Checked.Vm, Log::levelOf(Checked.LogLevel));
  Span::configure(Checked.TraceFile, "cicadawind-" + Name);
  try {
    DaemonRuntime Runtime(
        {.Settings = Checked, .Charts = valueOf(Charts), .Role = Role});
    Serve(Runtime);
  } catch (const std::exception &E) {
    Log("daemon").error("cannot start", {{"why", E.what()}});
    return internal::ExceptionExitCode;
  }
  return 0;
}

} // namespace cicadawind
