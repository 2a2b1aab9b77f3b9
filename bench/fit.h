#pragma once

#include <cmath>
#include <cstddef>
#include <vector>

namespace azurehill::bench {

/// \brief One measurement: what was measured at which size.
struct sample
{
    double size = 0;
    double value = 0;
};

/// \brief A straight line through samples, with the standard error of its slope.
struct line_fit
{
    double intercept = 0;
    double slope = 0;
    /// NaN when there are too few samples to tell.
    double slopeError = std::nan("");
    std::size_t samples = 0;

    /// \returns the value that the line has at \p size.
    double at(double size) const { return intercept + slope * size; }
};

/// \returns the line with the least squares of its distances from \p samples.
inline line_fit fitLine(const std::vector<sample> &samples)
{
    line_fit fit;
    fit.samples = samples.size();
    const auto n = static_cast<double>(samples.size());
    double meanSize = 0;
    double meanValue = 0;
    for (const sample &s : samples) {
        meanSize += s.size / n;
        meanValue += s.value / n;
    }
    double sizeSquares = 0;
    double products = 0;
    for (const sample &s : samples) {
        sizeSquares += (s.size - meanSize) * (s.size - meanSize);
        products += (s.size - meanSize) * (s.value - meanValue);
    }
    if (sizeSquares <= 0) {
        fit.intercept = meanValue;
        return fit;
    }
    fit.slope = products / sizeSquares;
    fit.intercept = meanValue - fit.slope * meanSize;
    constexpr std::size_t parameters = 2;
    if (samples.size() > parameters) {
        double residuals = 0;
        for (const sample &s : samples)
            residuals += std::pow(s.value - fit.at(s.size), 2);
        fit.slopeError = std::sqrt(residuals / (n - parameters) / sizeSquares);
    }
    return fit;
}

/// \returns the exponent with which values grow with sizes: 0 constant, 1 linear, 2 quadratic.
///
/// All sizes and values must be above zero.
inline line_fit fitExponent(const std::vector<sample> &samples)
{
    std::vector<sample> logs;
    logs.reserve(samples.size());
    for (const sample &s : samples)
        logs.push_back({std::log(s.size), std::log(s.value)});
    return fitLine(logs);
}

} // namespace azurehill::bench
