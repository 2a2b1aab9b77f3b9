#pragma once

#include "core/core.h"

namespace azurehill {

/// \brief Adaptive timeout of a store call, after which the call is retried over another path.
///
/// Estimated from the response times like TCP's retransmission timeout (RFC 6298), and doubled with
/// each consecutive timeout. A short timeout recovers quickly from a lost response; backing off
/// keeps a store that has become slow from receiving every call twice.
class adaptive_timeout
{
public:
    /// \brief Records a response that took \p time.
    void onResponse(duration time);
    /// \brief Records a call that timed out.
    void onTimeout();
    /// \returns the timeout of the next call.
    duration timeout() const;

private:
    /// Smoothed response time and its smoothed mean deviation, in milliseconds.
    double m_meanMs = 0;
    double m_deviationMs = 0;
    int m_responseCount = 0;
    int m_consecutiveTimeouts = 0;
};

} // namespace azurehill
