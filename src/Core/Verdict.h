#ifndef CICADAWIND_CORE_VERDICT_H
#define CICADAWIND_CORE_VERDICT_H

#include <optional>
#include <string_view>

namespace cicadawind {

/// States whether a request has run at a target.
///
/// NotRun is only used if no byte of the request was sent to a target, if a
/// target refused the request before running it, or if the request is certain
/// to have had no effect. MayHaveRun is used in all cases of doubt.
enum class Verdict { NotRun, MayHaveRun, Ran };

/// Returns the stable wire name: "not_run", "may_have_run" or "ran".
std::string_view toString(Verdict V);

/// Returns the verdict with the wire name \p Name; empty if it is unknown.
std::optional<Verdict> parseVerdict(std::string_view Name);

/// Returns the verdict of a request whose two parts ended with \p A and \p B:
/// MayHaveRun if either is, else Ran if either is, else NotRun.
Verdict combine(Verdict A, Verdict B);

} // namespace cicadawind

#endif
