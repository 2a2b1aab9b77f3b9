#include "core/mechanism.h"

namespace azurehill {

std::string mechanism_set::disabledNames() const
{
    std::string all;
    for (std::size_t i = 0; i < m_disabled.size(); ++i) {
        if (!m_disabled.test(i))
            continue;
        if (!all.empty())
            all += ',';
        all += toName(static_cast<mechanism>(i));
    }
    return all;
}

std::string disableByName(mechanism_set &mechanisms, std::string_view list)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        const std::string_view name = list.substr(0, comma);
        const auto found = fromName<mechanism>(name);
        if (!found)
            return std::string(name);
        mechanisms.disable(*found);
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return {};
}

} // namespace azurehill
