#pragma once

#include <cstdint>

namespace azurehill {

/// \brief Estimates the time to the first byte of a service's answers by an exponentially weighted
/// linear regression: a constant plus a time for each prompt token that is not cached.
class first_byte_time_estimator
{
public:
    /// \param tokens prompt tokens that were not cached at the replica.
    /// \param ms milliseconds from sending the request to the first byte of the answer.
    void add(double tokens, double ms);

    /// \returns the time for a prompt that is entirely cached, in milliseconds.
    double cachedPromptMs() const;
    /// \returns the time for each uncached prompt token, in milliseconds.
    double msPerToken() const;
    /// \returns the expected time for \p tokens uncached prompt tokens, in milliseconds.
    double expectedMs(double tokens) const { return cachedPromptMs() + msPerToken() * tokens; }
    /// \returns the mean absolute deviation from the expected time, in milliseconds.
    double meanDeviationMs() const { return m_deviation; }
    int samples() const { return m_samples; }

private:
    int m_samples = 0;
    double m_meanTokens = 0;
    double m_meanMs = 0;
    double m_tokenVariance = 0;
    double m_covariance = 0;
    double m_deviation = 0;
};

} // namespace azurehill
