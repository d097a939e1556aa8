#include "ReleaseNotes/NoteSchema.h"

#include <chrono>

namespace cicadawind {
namespace internal {

/// Maximum duration in a note: one day.
static constexpr std::int64_t MaxMilliseconds =
    std::chrono::milliseconds(std::chrono::hours(24)).count();

const std::vector<FieldRule> &fieldRules(NoteKind Kind) {
  static const std::vector<FieldRule> Database{
      {.Name = "name", .Identity = true},
      {.Name = "staleness_allowance_ms",
       .Type = FieldType::Number,
       .Max = MaxMilliseconds},
  };
  static const std::vector<FieldRule> Target{
      {.Name = "database", .Identity = true},
      {.Name = "name", .Identity = true},
      {.Name = "address", .RequiredToAdd = true},
      {.Name = "failure_domain", .RequiredToAdd = true},
      {.Name = "region", .RequiredToAdd = true},
      {.Name = "slots", .Type = FieldType::Number, .Min = 1, .Max = 1024},
      {.Name = "connections",
       .Type = FieldType::Number,
       .Min = 2,
       .Max = 65535},
      {.Name = "leaving", .Type = FieldType::Flag},
  };
  static const std::vector<FieldRule> Vm{
      {.Name = "name", .Identity = true},
  };
  static const std::vector<FieldRule> Limits{
      {.Name = "max_deadline_ms",
       .Type = FieldType::Number,
       .Min = 100,
       .Max = MaxMilliseconds},
      {.Name = "idle_transaction_ms",
       .Type = FieldType::Number,
       .Min = 100,
       .Max = MaxMilliseconds},
      {.Name = "drain_limit_ms",
       .Type = FieldType::Number,
       .Min = 100,
       .Max = MaxMilliseconds},
      {.Name = "queue_limit",
       .Type = FieldType::Number,
       .Min = 1,
       .Max = 65536},
  };
  switch (Kind) {
  case NoteKind::Database:
    return Database;
  case NoteKind::Target:
    return Target;
  case NoteKind::Vm:
    return Vm;
  case NoteKind::Limits:
    return Limits;
  }
  return Limits;
}

} // namespace internal
} // namespace cicadawind
