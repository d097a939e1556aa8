#ifndef CICADAWIND_TARGETS_REPORTCODEC_H
#define CICADAWIND_TARGETS_REPORTCODEC_H

#include "Terms/InstanceReport.h"

#include <nlohmann/json.hpp>

namespace cicadawind {

/// Returns the JSON object of \p Report.
nlohmann::json toJson(const InstanceReport &Report);

/// Inverse of toJson. Throws nlohmann::json::exception if \p Json is malformed.
InstanceReport reportFrom(const nlohmann::json &Json);

} // namespace cicadawind

#endif
