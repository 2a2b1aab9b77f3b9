#pragma once

#include "daemon/control.h"

namespace azurehill {

/// \brief What the operators' interface answers, as JSON.
http_response membersResponse(const cell_view &view);
http_response programsResponse(const std::vector<program> &programs);
http_response upstreamsResponse(const std::vector<replica> &replicas);
/// \param decided the version that decides now, or why none does.
http_response
presetsResponse(const config_version &head,
                const tl::expected<config_version, preset_unavailable_reason> &decided);
http_response
configResponse(const config_version &head,
               const tl::expected<config_version, preset_unavailable_reason> &decided);
http_response historyResponse(const std::vector<config_version> &versions);
http_response storedResponse(const config_version &version);
http_response faultsResponse(const std::vector<config_error> &faults);
problem toProblem(const config_write_error &error);

} // namespace azurehill
