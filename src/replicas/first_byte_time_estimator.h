#pragma once

#include <cstdint>

namespace azurehill {

/// \brief Learns how long answers of a service take to begin: a part that is always there, and a
/// part for each prompt token that has to be read. An exponentially weighted linear regression.
class first_byte_time_estimator
{
public:
    /// \param tokens prompt tokens that the replica had to read.
    /// \param ms milliseconds from the send to the first byte of the answer.
    void add(double tokens, double ms);

    /// \returns milliseconds for a prompt that is cached whole.
    double base() const;
    /// \returns milliseconds a prompt token.
    double perToken() const;
    /// \returns milliseconds expected for \p tokens.
    double expected(double tokens) const { return base() + perToken() * tokens; }
    /// \returns average distance between expected and seen, in milliseconds.
    double deviation() const { return m_deviation; }
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
