#ifndef CICADAWIND_TARGETS_REPORTCODEC_H
#define CICADAWIND_TARGETS_REPORTCODEC_H

#include "Terms/InstanceReport.h"

#include <nlohmann/json.hpp>

namespace cicadawind {

/// JSON object of \p Report.
nlohmann::json toJson(const InstanceReport &Report);

/// Inverse of toJson; throws nlohmann::json::exception when malformed.
InstanceReport reportFrom(const nlohmann::json &Json);

} // namespace cicadawind

#endif
