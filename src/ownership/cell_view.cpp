#include "ownership/cell_view.h"

#include <boost/json.hpp>

#include <algorithm>

namespace azurehill {

namespace json = boost::json;

namespace {

json::object toJson(const member &m)
{
    json::array retainedPrograms;
    for (const program_id &id : m.retainedPrograms)
        retainedPrograms.emplace_back(id.value);
    return {{"daemon", m.daemon.value},
            {"incarnation", m.incarnation},
            {"address", m.address},
            {"inner_address", m.innerAddress},
            {"data_centre", m.dataCentre.value},
            {"draining", m.draining},
            {"joining", m.joining},
            {"keeps", retainedPrograms}};
}

std::string stringField(const json::object &o, std::string_view key)
{
    return std::string(o.at(key).as_string());
}

member toMember(const json::object &o)
{
    member m{{stringField(o, "daemon")},      stringField(o, "incarnation"),
             stringField(o, "address"),       stringField(o, "inner_address"),
             {stringField(o, "data_centre")}, o.at("draining").as_bool(),
             o.at("joining").as_bool()};
    for (const json::value &id : o.at("keeps").as_array())
        m.retainedPrograms.push_back({std::string(id.as_string())});
    return m;
}

} // namespace

const member *cell_view::find(const daemon_id &id) const
{
    const auto it = std::find_if(members.begin(), members.end(),
                                 [&](const member &m) { return m.daemon == id; });
    return it == members.end() ? nullptr : &*it;
}

std::string encode(const cell_view &view)
{
    json::array members;
    for (const member &m : view.members)
        members.emplace_back(toJson(m));
    return json::serialize(json::object{{"number", view.number}, {"members", members}});
}

tl::expected<cell_view, std::string> decodeView(const table_row &row)
{
    try {
        const json::object o = json::parse(row.value).as_object();
        cell_view view;
        view.version = row.version;
        view.number = o.at("number").to_number<fencing_number>();
        for (const json::value &m : o.at("members").as_array())
            view.members.push_back(toMember(m.as_object()));
        return view;
    } catch (const std::exception &e) {
        return tl::unexpected(std::string(e.what()));
    }
}

} // namespace azurehill
