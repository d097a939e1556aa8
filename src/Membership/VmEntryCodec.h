#ifndef CICADAWIND_MEMBERSHIP_VMENTRYCODEC_H
#define CICADAWIND_MEMBERSHIP_VMENTRYCODEC_H

#include "Core/Result.h"
#include "Membership/VmEntry.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace cicadawind {

/// Returns \p Entry as a JSON object.
nlohmann::json toJson(const VmEntry &Entry);

/// Returns the entry in an object of toJson(). Throws nlohmann::json::exception
/// if \p Json is malformed.
VmEntry vmEntryFrom(const nlohmann::json &Json);

/// Encodes \p Entries in CBOR.
std::string encodeEntries(const std::vector<VmEntry> &Entries);

/// Inverse of encodeEntries; fails with BadRequest if \p Bytes are malformed.
Result<std::vector<VmEntry>> decodeEntries(const std::string &Bytes);

} // namespace cicadawind

#endif
