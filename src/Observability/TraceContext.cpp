#include "Observability/TraceContext.h"

#include <cstdio>

namespace cicadawind {
namespace internal {

static std::string hex64(std::uint64_t Value) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Value));
  return Text;
}

static bool isHex(const std::string &Text) {
  return Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace internal

TraceContext TraceContext::fromHeader(const std::string &Traceparent,
                                      const RandomSource &Random) {
  TraceContext Context;
  Context.SpanId = internal::hex64(Random());
  // The header holds: version "-" trace-id "-" parent-id "-" flags.
  constexpr std::size_t Length = 55;
  bool WellFormed = Traceparent.size() == Length && Traceparent[2] == '-' &&
                    Traceparent[35] == '-' && Traceparent[52] == '-' &&
                    internal::isHex(Traceparent.substr(3, 32)) &&
                    internal::isHex(Traceparent.substr(36, 16)) &&
                    internal::isHex(Traceparent.substr(53, 2));
  if (!WellFormed) {
    Context.TraceId = internal::hex64(Random()) + internal::hex64(Random());
    return Context;
  }
  Context.TraceId = Traceparent.substr(3, 32);
  Context.ParentId = Traceparent.substr(36, 16);
  constexpr int HexBase = 16;
  Context.Sampled = std::stoi(Traceparent.substr(53, 2), nullptr, HexBase) % 2;
  return Context;
}

std::string TraceContext::traceparent() const {
  return "00-" + TraceId + "-" + SpanId + (Sampled ? "-01" : "-00");
}

} // namespace cicadawind
