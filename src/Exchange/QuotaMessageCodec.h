#ifndef CICADAWIND_EXCHANGE_QUOTAMESSAGECODEC_H
#define CICADAWIND_EXCHANGE_QUOTAMESSAGECODEC_H

#include "Quotas/QuotaMessage.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace cicadawind {

/// Encodes \p Message. The member "t" names its type.
nlohmann::json toJson(const QuotaMessage &Message);

/// Inverse of toJson. Returns nothing if the type is another one; throws
/// std::exception if \p In is malformed or exceeds a bound.
std::optional<QuotaMessage> quotaMessageFrom(const nlohmann::json &In);

} // namespace cicadawind

#endif
