#ifndef CICADAWIND_OBSERVABILITY_LOG_H
#define CICADAWIND_OBSERVABILITY_LOG_H

#include <string>
#include <utility>
#include <vector>

namespace cicadawind {

/// Severity of a log line, in ascending order.
enum class LogLevel { Debug, Info, Warning, Error };

/// Named values of a log line.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Destination of log lines.
enum class LogOutput { StandardError, StandardOutput };

/// \class Log
/// \brief Writes JSON lines through Boost.Log.
///
/// Each line holds the fields time, level, component, vm and message, followed
/// by the given fields. Writing is thread safe; start and setMinLevel are not.
class Log {
public:
  /// Sets up the sink; to be called once when the process starts. \p Vm is
  /// written into each line. Lines below \p MinLevel are not written. Writing
  /// to StandardOutput never blocks; see LineSink.
  static void start(const std::string &Vm, LogLevel MinLevel,
                    LogOutput Output = LogOutput::StandardError);
  /// Changes the level below which lines are not written.
  static void setMinLevel(LogLevel MinLevel);
  /// Returns the level with the name \p Name, or Info if there is none.
  static LogLevel levelOf(const std::string &Name);

  explicit Log(std::string Component) : Component(std::move(Component)) {}

  void debug(const std::string &Message, const LogFields &Fields = {}) const;
  void info(const std::string &Message, const LogFields &Fields = {}) const;
  void warning(const std::string &Message, const LogFields &Fields = {}) const;
  void error(const std::string &Message, const LogFields &Fields = {}) const;

private:
  void write(LogLevel Level, const std::string &Message,
             const LogFields &Fields) const;

  std::string Component;
};

} // namespace cicadawind

#endif
