#pragma once

#include "inner/heartbeat.h"

#include <json/json.h>

namespace azurehill::internal {

Json::Value toJson(const heartbeat &beat);
/// \returns the heartbeat in \p value. Throws Json::Exception if a value has the wrong type.
heartbeat toHeartbeat(const Json::Value &value);

} // namespace azurehill::internal
