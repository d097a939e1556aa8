#include "Core/Verdict.h"

namespace cicadawind {

std::string_view toString(Verdict V) {
  switch (V) {
  case Verdict::NotRun:
    return "not_run";
  case Verdict::MayHaveRun:
    return "may_have_run";
  case Verdict::Ran:
    return "ran";
  }
  return "may_have_run";
}

std::optional<Verdict> parseVerdict(std::string_view Name) {
  for (Verdict V : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran})
    if (toString(V) == Name)
      return V;
  return std::nullopt;
}

Verdict combine(Verdict A, Verdict B) {
  if (A == Verdict::MayHaveRun || B == Verdict::MayHaveRun)
    return Verdict::MayHaveRun;
  return A == Verdict::Ran ? A : B;
}

} // namespace cicadawind
