#pragma once

#include "bench/fit.h"

#include <string>
#include <string_view>
#include <vector>

namespace azurehill::bench {

/// \brief What is measured against which size.
struct quantity
{
    /// Name that the page uses, such as "program.bytes".
    std::string name;
    std::string unit;
    /// What the size counts, such as "members".
    std::string against;
};

/// \brief Prints samples and their fitted line as JSON lines on standard output.
class series
{
public:
    explicit series(quantity what) : m_what(std::move(what)) { }
    /// \brief Prints the fit.
    ~series();
    series(const series &) = delete;
    series &operator=(const series &) = delete;

    void add(double size, double value);

private:
    quantity m_what;
    std::vector<sample> m_samples;
};

} // namespace azurehill::bench
