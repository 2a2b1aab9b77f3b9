#include "replicas/first_byte_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

/// Weight of a new sample once there are enough: the last forty or so count.
constexpr double sampleWeight = 0.025;
/// Until prompts of different lengths have been seen: an engine reads some ten to a hundred tokens
/// in a millisecond.
constexpr double initialMsPerToken = 0.03;
/// Spread of lengths, in tokens squared, from which on the slope says something.
constexpr double minTokenVariance = 200.0 * 200.0;
constexpr double minMsPerToken = 0.002;
constexpr double maxMsPerToken = 0.5;
/// A sample counts as no more than this many times what was expected: one replica that hangs must
/// not spoil the estimate for all.
constexpr double outlierFactor = 4;
constexpr int minSamples = 10;

} // namespace

void first_byte_time_estimator::add(double tokens, double ms)
{
    if (m_samples >= minSamples)
        ms = std::min(ms, outlierFactor * expected(tokens) + 1);
    const double weight = std::max(sampleWeight, 1.0 / (1 + m_samples));
    m_deviation += weight * (std::abs(ms - expected(tokens)) - m_deviation);
    const double tokenStep = tokens - m_meanTokens;
    const double msStep = ms - m_meanMs;
    m_meanTokens += weight * tokenStep;
    m_meanMs += weight * msStep;
    m_tokenVariance = (1 - weight) * (m_tokenVariance + weight * tokenStep * tokenStep);
    m_covariance = (1 - weight) * (m_covariance + weight * tokenStep * msStep);
    ++m_samples;
}

double first_byte_time_estimator::perToken() const
{
    if (m_tokenVariance < minTokenVariance || m_samples < minSamples)
        return initialMsPerToken;
    return std::clamp(m_covariance / m_tokenVariance, minMsPerToken, maxMsPerToken);
}

double first_byte_time_estimator::base() const
{
    return std::max(0.5, m_meanMs - perToken() * m_meanTokens);
}

} // namespace azurehill
