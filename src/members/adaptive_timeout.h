#pragma once

#include "core/core.h"

namespace azurehill {

/// \brief How long an answer of the store is waited for before the call is made another way.
///
/// An answer that is lost never comes, so a short wait mends it soon; a store that has turned slow
/// must not be asked twice for everything. The wait follows the times of answers that came, and
/// doubles with each that did not.
class adaptive_timeout
{
public:
    /// \brief An answer came after \p time.
    void onAnswer(duration time);
    /// \brief An answer was given up.
    void onTimeout();
    /// \returns how long to wait for the next one.
    duration wait() const;

private:
    /// Smoothed time of answers and its smoothed deviation, in milliseconds.
    double m_typical = 0;
    double m_deviation = 0;
    int m_answers = 0;
    int m_consecutiveTimeouts = 0;
};

} // namespace azurehill
