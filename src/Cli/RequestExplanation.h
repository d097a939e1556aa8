#ifndef CICADAWIND_CLI_REQUESTEXPLANATION_H
#define CICADAWIND_CLI_REQUESTEXPLANATION_H

#include "Core/Clock.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadawind {

/// \class RequestExplanation
/// \brief Finds the cause of a request's outcome in the log lines of proxies.
///
/// The lines may come from any number of VMs and in any order. Text before a
/// line's JSON is skipped, and lines without JSON are ignored. explain is
/// linear in the number of lines, apart from sorting those near the request.
class RequestExplanation {
public:
  struct Options {
    /// Interval around the request in which lines are considered, by the
    /// timestamps of the lines.
    Duration Before = std::chrono::seconds(5);
    Duration After = std::chrono::seconds(2);
    /// Largest number of lines given as evidence; those nearest in time to the
    /// request are chosen.
    std::size_t MaxEvidence = 24;
  };
  struct Result {
    /// The log line of the request itself; null if there is none.
    nlohmann::json Request;
    /// Why the request ended as it did.
    std::string Cause;
    /// Advice to the operator.
    std::string Advice;
    /// Lines about the request's group and VM, oldest first.
    std::vector<nlohmann::json> Evidence;
    /// Number of lines about unserved requests that the VMs suppressed, as the
    /// VMs report it in their logs.
    std::uint64_t SuppressedLines = 0;
  };

  RequestExplanation() = default;
  explicit RequestExplanation(Options Opts) : Opts(Opts) {}

  /// Adds a log line; ignores it unless it holds JSON with a valid time.
  void addLine(const std::string &Line);
  /// Returns the number of lines that were added and not ignored.
  std::size_t lines() const { return Lines.size(); }
  /// Explains the outcome of the request \p Id.
  Result explain(const std::string &Id) const;

private:
  struct LogLine {
    std::chrono::system_clock::time_point Time;
    nlohmann::json Fields;
  };

  /// Returns the latest line of the request \p Id, or null.
  const LogLine *find(const std::string &Id) const;
  std::vector<nlohmann::json> evidenceFor(const LogLine &Request) const;
  /// Returns whether \p Line may help to explain the outcome of \p Request.
  bool isRelevant(const LogLine &Line, const LogLine &Request) const;

  Options Opts;
  std::vector<LogLine> Lines;
};

} // namespace cicadawind

#endif
