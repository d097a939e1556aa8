#ifndef CICADAWIND_OBSERVABILITY_SPAN_H
#define CICADAWIND_OBSERVABILITY_SPAN_H

#include "Observability/TraceContext.h"

#include <cstdint>
#include <map>
#include <string>

namespace cicadawind {

/// \class Span
/// \brief A trace span of one request in this process.
///
/// The destructor writes the span as a line of JSON in the structure of the
/// OpenTelemetry protocol (OTLP), to the file given to configure. Only spans of
/// sampled traces are written.
class Span {
public:
  /// Sets the file that spans are appended to and the service name that they
  /// report. An empty \p Path disables spans.
  static void configure(const std::string &Path, const std::string &Service);

  Span(std::string Name, TraceContext Context);
  ~Span();
  Span(const Span &) = delete;
  Span &operator=(const Span &) = delete;

  const TraceContext &context() const { return Context; }
  /// Sets an attribute of the span; has no effect if the trace is not sampled.
  void setAttribute(const std::string &Key, const std::string &Value);

private:
  std::string Name;
  TraceContext Context;
  /// Unix time of the start in nanoseconds.
  std::int64_t StartNanos;
  std::map<std::string, std::string> Attributes;
};

} // namespace cicadawind

#endif
