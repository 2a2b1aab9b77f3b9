#include "journal/batch.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace azurehill {

namespace json = boost::json;

std::string rowPrefix(std::string_view cell)
{
    return fmt::format("journal/{}/", cell);
}

std::string rowKey(std::string_view cell, const journal_batch &batch)
{
    return fmt::format("{}{}/{}/{:012}", rowPrefix(cell), batch.daemon.value, batch.incarnation,
                       batch.sequence);
}

std::string encode(const journal_batch &batch)
{
    json::array records;
    for (const journal_record &r : batch.records)
        records.push_back(toJson(r));
    return json::serialize(json::object{{"daemon", batch.daemon.value},
                                        {"incarnation", batch.incarnation},
                                        {"sequence", batch.sequence},
                                        {"fence", batch.fence},
                                        {"records", records}});
}

tl::expected<journal_batch, std::string> decodeBatch(std::string_view text)
{
    try {
        const json::value v = json::parse(json::string_view(text.data(), text.size()));
        journal_batch batch;
        batch.daemon.value = std::string(v.at("daemon").as_string());
        batch.incarnation = std::string(v.at("incarnation").as_string());
        batch.sequence = v.at("sequence").to_number<std::uint64_t>();
        batch.fence = v.at("fence").to_number<fencing_number>();
        for (const json::value &r : v.at("records").as_array()) {
            auto record = recordFromJson(r);
            if (!record)
                return tl::unexpected(record.error());
            batch.records.push_back(std::move(*record));
        }
        return batch;
    } catch (const std::exception &e) {
        return tl::unexpected(std::string(e.what()));
    }
}

} // namespace azurehill
