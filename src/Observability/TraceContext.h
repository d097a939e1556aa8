#ifndef CICADAWIND_OBSERVABILITY_TRACECONTEXT_H
#define CICADAWIND_OBSERVABILITY_TRACECONTEXT_H

#include "Core/Random.h"

#include <string>

namespace cicadawind {

/// \class TraceContext
/// \brief W3C trace context of one request.
struct TraceContext {
  /// Id of the trace, 32 hexadecimal digits.
  std::string TraceId;
  /// Id of the current span, 16 hexadecimal digits.
  std::string SpanId;
  /// Id of the calling span, 16 hexadecimal digits; empty for a root span.
  std::string ParentId;
  bool Sampled = false;

  /// Returns the context of a new span in the trace that the header value
  /// \p Traceparent names, or in a new, unsampled trace if \p Traceparent is
  /// empty or malformed.
  static TraceContext fromHeader(const std::string &Traceparent,
                                 const RandomSource &Random);

  /// Returns the value of the traceparent header for calls made from this span.
  std::string traceparent() const;
};

} // namespace cicadawind

#endif
