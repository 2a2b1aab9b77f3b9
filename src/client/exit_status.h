#pragma once

namespace azurehill {

/// \brief Exit statuses of azurehill-ctl. Their values are those of sysexits.h, except for
/// BadSettings.
enum exit_status {
    Success = 0,
    BadSettings = 2,
    BadUsage = 64,
    BadData = 65,
    NoInput = 66,
    Unavailable = 69,
    UnknownOutcome = 70,
    Conflict = 75,
    Protocol = 76,
    NoPermission = 77
};

} // namespace azurehill
