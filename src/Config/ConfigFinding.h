#ifndef CICADAWIND_CONFIG_CONFIGFINDING_H
#define CICADAWIND_CONFIG_CONFIGFINDING_H

#include <string>

namespace cicadawind {

/// \class ConfigFinding
/// \brief One thing in a configuration that an operator should look at.
///
/// Invariant: Where and Text contain no API key.
struct ConfigFinding {
  enum class Severity {
    /// Callers would be refused, or a part of the text would not be in force.
    Error,
    /// All of it would be in force, but a part has no effect or contradicts
    /// another one.
    Warning,
  };

  Severity Level = Severity::Error;
  /// The entry, in the form "database 'd'".
  std::string Where;
  /// What is wrong, and what to do.
  std::string Text;

  bool operator==(const ConfigFinding &) const = default;
};

} // namespace cicadawind

#endif
