#ifndef CICADAWIND_MEMBERSHIP_VMENTRYCODEC_H
#define CICADAWIND_MEMBERSHIP_VMENTRYCODEC_H

#include "Membership/VmEntry.h"

#include <nlohmann/json.hpp>

namespace cicadawind {

/// JSON object of \p Entry.
nlohmann::json toJson(const VmEntry &Entry);

/// Inverse of toJson; throws nlohmann::json::exception when malformed.
VmEntry vmEntryFrom(const nlohmann::json &Json);

} // namespace cicadawind

#endif
