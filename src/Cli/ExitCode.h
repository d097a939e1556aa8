#ifndef CICADAWIND_CLI_EXITCODE_H
#define CICADAWIND_CLI_EXITCODE_H

namespace cicadawind {

/// Exit codes of cicadawindctl. They are documented in docs/OPERATIONS.md.
enum class ExitCode : int {
  Ok = 0,
  /// The request was invalid, conflicting or not permitted, the checked file is
  /// invalid, or no log line names the request to explain. Nothing changed.
  Refused = 1,
  /// The command or its arguments were wrong. Nothing changed.
  Usage = 2,
  /// No daemon could be reached, or the daemon could not reach the store.
  /// Nothing changed.
  Unreachable = 3,
  /// The change may have taken effect. Repeating the command with the same
  /// submission id tells whether it did.
  OutcomeUnknown = 4,
  /// The change was accepted, but was not active at every daemon before the
  /// timeout.
  PartiallyApplied = 5,
};

} // namespace cicadawind

#endif
