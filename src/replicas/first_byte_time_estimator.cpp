#include "replicas/first_byte_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

/// Weight of a new sample once there are enough of them: an effective window of about forty
/// samples.
constexpr double sampleWeight = 0.025;
/// Estimate until prompts of different lengths have been observed: engines read about ten to a
/// hundred tokens per millisecond.
constexpr double initialMsPerToken = 0.03;
/// Variance of prompt lengths, in tokens squared, from which on the slope is used.
constexpr double minTokenVariance = 200.0 * 200.0;
constexpr double minMsPerToken = 0.002;
constexpr double maxMsPerToken = 0.5;
/// Samples are clipped to this multiple of the expected time: one replica that hangs must not
/// distort the estimate for all.
constexpr double outlierFactor = 4;
constexpr int minSamples = 10;

} // namespace

void first_byte_time_estimator::add(double tokens, double ms)
{
    if (m_samples >= minSamples)
        ms = std::min(ms, outlierFactor * expectedMs(tokens) + 1);
    const double weight = std::max(sampleWeight, 1.0 / (1 + m_samples));
    m_deviation += weight * (std::abs(ms - expectedMs(tokens)) - m_deviation);
    const double tokenError = tokens - m_meanTokens;
    const double msError = ms - m_meanMs;
    m_meanTokens += weight * tokenError;
    m_meanMs += weight * msError;
    m_tokenVariance = (1 - weight) * (m_tokenVariance + weight * tokenError * tokenError);
    m_covariance = (1 - weight) * (m_covariance + weight * tokenError * msError);
    ++m_samples;
}

double first_byte_time_estimator::msPerToken() const
{
    if (m_tokenVariance < minTokenVariance || m_samples < minSamples)
        return initialMsPerToken;
    return std::clamp(m_covariance / m_tokenVariance, minMsPerToken, maxMsPerToken);
}

double first_byte_time_estimator::cachedPromptMs() const
{
    return std::max(0.5, m_meanMs - msPerToken() * m_meanTokens);
}

} // namespace azurehill
