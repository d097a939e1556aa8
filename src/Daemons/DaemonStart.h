#ifndef CICADAWIND_DAEMONS_DAEMONSTART_H
#define CICADAWIND_DAEMONS_DAEMONSTART_H

#include "Daemons/DaemonRuntime.h"

#include <functional>

namespace cicadawind {

/// Version printed by all programs.
extern const char *const ProgramVersion;

/// Reads flags and settings, sets up logs and traces, and calls \p Serve with
/// the daemon's runtime.
///
/// Returns the program's exit code: 0 after a planned stop or a check of the
/// settings, 2 if flags, settings or charts are invalid, and 1 if an exception
/// ends the daemon, at its start or later.
int startDaemon(int Argc, char **Argv, DaemonRole Role,
                const std::function<void(DaemonRuntime &)> &Serve);

} // namespace cicadawind

#endif
