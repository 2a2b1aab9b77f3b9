#include "bench/capacity_report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>

namespace azurehill::bench {

namespace json = boost::json;

namespace {

void printLine(const json::object &o)
{
    std::puts(json::serialize(o).c_str());
    std::fflush(stdout);
}

} // namespace

void series::add(double size, double value)
{
    m_samples.push_back({size, value});
    printLine({{"kind", "sample"},
               {"name", m_what.name},
               {"unit", m_what.unit},
               {"against", m_what.against},
               {"size", size},
               {"value", value}});
}

series::~series()
{
    const line_fit fit = fitLine(m_samples);
    json::object o{
        {"kind", "fit"},          {"name", m_what.name},
        {"unit", m_what.unit},    {"against", m_what.against},
        {"samples", fit.samples}, {"intercept", fit.intercept},
        {"slope", fit.slope},     {"largest", m_samples.empty() ? 0.0 : m_samples.back().size}};
    // JSON has no NaN.
    if (std::isfinite(fit.slopeError))
        o["slope_error"] = fit.slopeError;
    const bool hasLogs = std::all_of(m_samples.begin(), m_samples.end(),
                                     [](const sample &x) { return x.size > 0 && x.value > 0; });
    if (hasLogs && m_samples.size() > 1)
        o["exponent"] = fitExponent(m_samples).slope;
    printLine(o);
}

} // namespace azurehill::bench
