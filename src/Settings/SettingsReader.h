#ifndef CICADAWIND_SETTINGS_SETTINGSREADER_H
#define CICADAWIND_SETTINGS_SETTINGSREADER_H

#include "Core/Clock.h"
#include "Core/ErrorList.h"

#include <toml++/toml.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadawind {
namespace internal {

/// \class SettingsReader
/// \brief Reads typed values from a TOML table and collects validation errors.
///
/// Every function adds its errors to the error list and returns a usable value
/// in any case, so that one pass finds all errors of a file. After all keys
/// have been read, reportUnknown adds an error for each key that was not.
class SettingsReader {
public:
  SettingsReader(const toml::table &Table, ErrorList &Errors)
      : Table(Table), Errors(Errors) {}

  /// Reads a required, non-empty string; returns an empty string after an
  /// error.
  std::string text(const std::string &Section, const std::string &Key);

  /// Reads an optional string; returns \p Fallback if the key is missing or
  /// after an error.
  std::string textOr(const std::string &Section, const std::string &Key,
                     const std::string &Fallback);

  /// Reads an optional integer from \p Min to \p Max; returns \p Fallback if
  /// the key is missing and \p Min after an error.
  std::int64_t numberOr(const std::string &Section, const std::string &Key,
                        std::int64_t Fallback, std::int64_t Min,
                        std::int64_t Max);

  /// Reads a required integer from \p Min to \p Max, which may be written as a
  /// fraction such as 5.0; returns \p Min after an error.
  std::int64_t number(const std::string &Section, const std::string &Key,
                      std::int64_t Min, std::int64_t Max);

  /// Returns the number under \p Key, which may have decimals, or \p Fallback
  /// if there is none. Records an error and returns \p Min unless it is from \p
  /// Min to \p Max.
  double decimalOr(const std::string &Section, const std::string &Key,
                   double Fallback, double Min, double Max);

  /// Reads an optional time from \p Min to \p Max, which is written as a number
  /// of seconds and may be a fraction; returns \p Fallback if the key is
  /// missing and \p Min after an error.
  Millis secondsOr(const std::string &Section, const std::string &Key,
                   Millis Fallback, Millis Min, Millis Max);

  /// Reads an optional boolean; returns \p Fallback if the key is missing and
  /// false after an error.
  bool booleanOr(const std::string &Section, const std::string &Key,
                 bool Fallback);

  /// Reads an optional list of strings; returns the strings that it holds.
  std::vector<std::string> texts(const std::string &Section,
                                 const std::string &Key);

  /// Adds an error unless \p Text is an IP address.
  void checkAddress(const std::string &Section, const std::string &Key,
                    const std::string &Text);
  /// Adds an error unless \p Text is empty or an endpoint "ip:port".
  void checkEndpoint(const std::string &Section, const std::string &Key,
                     const std::string &Text);

  /// Adds a validation error at the line of \p Section.\p Key.
  void addError(const std::string &Section, const std::string &Key,
                const std::string &Reason);

  /// Adds an error for each section and key of the table that was not read.
  void reportUnknown();

private:
  /// Returns the node of the key, or null; records the key as read.
  const toml::node *find(const std::string &Section, const std::string &Key);
  std::size_t lineOf(const std::string &Section, const std::string &Key) const;

  const toml::table &Table;
  ErrorList &Errors;
  /// Keys that were read so far, by section.
  std::map<std::string, std::set<std::string>> ReadKeys;
};

} // namespace internal
} // namespace cicadawind

#endif
