#ifndef CICADAWIND_CORE_VERDICT_H
#define CICADAWIND_CORE_VERDICT_H

#include <optional>
#include <string_view>

namespace cicadawind {

/// Says whether a request may have run at a target.
///
/// NotRun is only stated when no byte of the request left for a target, or a
/// target refused it before running it. Anything in doubt is MayHaveRun.
enum class Verdict { NotRun, MayHaveRun, Ran };

/// Stable wire name: "not_run", "may_have_run" or "ran".
std::string_view toString(Verdict V);

/// Inverse of toString; empty for an unknown name.
std::optional<Verdict> parseVerdict(std::string_view Name);

/// Verdict of a request whose parts ended with \p A and \p B: the more
/// cautious of the two.
Verdict combine(Verdict A, Verdict B);

} // namespace cicadawind

#endif
