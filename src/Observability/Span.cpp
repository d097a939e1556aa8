#include "Observability/Span.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <utility>

namespace cicadawind {
namespace internal {

static std::ofstream SpanFile;
static std::string SpanService;

static std::int64_t unixNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

static nlohmann::json attribute(const std::string &Key,
                                const std::string &Value) {
  return {{"key", Key}, {"value", {{"stringValue", Value}}}};
}

} // namespace internal

void Span::configure(const std::string &Path, const std::string &Service) {
  internal::SpanService = Service;
  if (!Path.empty())
    internal::SpanFile.open(Path, std::ios::app);
}

Span::Span(std::string NewName, TraceContext NewContext)
    : Name(std::move(NewName)), Context(std::move(NewContext)),
      StartNanos(internal::unixNanos()) {}

void Span::setAttribute(const std::string &Key, const std::string &Value) {
  if (Context.Sampled)
    Attributes[Key] = Value;
}

Span::~Span() {
  if (!Context.Sampled || !internal::SpanFile.is_open())
    return;
  nlohmann::json AttributeList = nlohmann::json::array();
  for (const auto &[Key, Value] : Attributes)
    AttributeList.push_back(internal::attribute(Key, Value));
  // Kind 2 is SPAN_KIND_SERVER in OTLP.
  nlohmann::json Body{
      {"traceId", Context.TraceId},
      {"spanId", Context.SpanId},
      {"parentSpanId", Context.ParentId},
      {"name", Name},
      {"kind", 2},
      {"startTimeUnixNano", std::to_string(StartNanos)},
      {"endTimeUnixNano", std::to_string(internal::unixNanos())},
      {"attributes", AttributeList}};
  nlohmann::json Resource{
      {"attributes", nlohmann::json::array({internal::attribute(
                         "service.name", internal::SpanService)})}};
  nlohmann::json Scope{{"spans", nlohmann::json::array({Body})}};
  nlohmann::json Entry{{"resource", Resource},
                       {"scopeSpans", nlohmann::json::array({Scope})}};
  nlohmann::json Line{{"resourceSpans", nlohmann::json::array({Entry})}};
  internal::SpanFile << Line.dump() << std::endl;
}

} // namespace cicadawind
