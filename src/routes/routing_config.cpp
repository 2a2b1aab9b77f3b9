#include "routes/routing_config.h"

namespace azurehill {

namespace {

/// \returns \p hostname without a port and in lower case, as host names are compared.
std::string normalized(std::string_view hostname)
{
    std::string result(hostname.substr(0, hostname.find(':')));
    for (char &c : result) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return result;
}

} // namespace

routing_config::routing_config(std::uint64_t version, std::vector<route_rule> routes,
                               std::vector<service_rule> services, client_limits limits,
                               account_registry accounts)
    : m_version(version), m_routes(std::move(routes)), m_limits(limits),
      m_accounts(std::move(accounts))
{
    for (service_rule &s : services) {
        std::string name = s.name;
        m_services.insert_or_assign(std::move(name), std::move(s));
    }
    for (std::size_t i = 0; i < m_routes.size(); ++i)
        m_byHost[normalized(m_routes[i].hostname)].insert_or_assign(m_routes[i].prefix, i);
}

const route_rule *routing_config::find(std::string_view hostname, std::string_view path) const
{
    const auto host = m_byHost.find(normalized(hostname));
    if (host == m_byHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = host->second.find(path.substr(0, slash + 1));
        if (found != host->second.end())
            return &m_routes[found->second];
    }
    return nullptr;
}

std::vector<service_rule> routing_config::services() const
{
    std::vector<service_rule> list;
    for (const auto &[name, rule] : m_services)
        list.push_back(rule);
    return list;
}

const service_rule *routing_config::service(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace azurehill
