#include "config/config_diff.h"

#include <boost/json.hpp>

#include <map>

namespace azurehill {

namespace json = boost::json;

namespace {

/// \brief Puts each value of \p v that is no object under its path. Arrays count as one value.
void flatten(const json::value &v, const std::string &path, std::map<std::string, std::string> &out)
{
    if (!v.is_object() || v.get_object().empty()) {
        out[path] = json::serialize(v);
        return;
    }
    for (const auto &[key, member] : v.get_object())
        flatten(member, path + "/" + std::string(key), out);
}

std::map<std::string, std::string> flattenJson(std::string_view text)
{
    json::error_code code;
    const json::value v = json::parse(json::string_view(text.data(), text.size()), code);
    std::map<std::string, std::string> values;
    flatten(v, "", values);
    return values;
}

} // namespace

std::vector<config_change> diffJson(std::string_view before, std::string_view after)
{
    std::map<std::string, config_change> changes;
    for (auto &[path, value] : flattenJson(before))
        changes[path] = {path, value, ""};
    for (auto &[path, value] : flattenJson(after)) {
        changes[path].path = path;
        changes[path].after = value;
    }
    std::vector<config_change> result;
    for (auto &[path, change] : changes) {
        if (change.before != change.after)
            result.push_back(std::move(change));
    }
    return result;
}

} // namespace azurehill
