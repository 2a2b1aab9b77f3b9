#include "quota/quota_row.h"

#include <boost/json.hpp>

#include <limits>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

/// Longest time that a share may count; far above any window.
constexpr std::int64_t maxPeerShareMs = 600'000;

int parseCredits(const json::value &value)
{
    const auto credits = value.to_number<std::int64_t>();
    if (credits < 0 || credits > std::numeric_limits<int>::max())
        throw std::out_of_range("number of credits");
    return static_cast<int>(credits);
}

json::value toJson(const credit_reservation &level)
{
    json::array shares;
    for (const credit_reservation::peer_share &share : level.foreign) {
        json::array one;
        one.emplace_back(share.credits);
        one.emplace_back(toMilliseconds(share.left));
        shares.emplace_back(std::move(one));
    }
    json::object o;
    o["credits"] = level.credits;
    o["foreign"] = std::move(shares);
    return o;
}

credit_reservation parseReservation(const json::value &value)
{
    credit_reservation level;
    level.credits = parseCredits(value.at("credits"));
    for (const json::value &one : value.at("foreign").as_array()) {
        const auto left = one.as_array().at(1).to_number<std::int64_t>();
        if (left < 0 || left > maxPeerShareMs)
            throw std::out_of_range("time of a share");
        level.foreign.push_back({parseCredits(one.as_array().at(0)), milliseconds(left)});
    }
    return level;
}

} // namespace

std::string encodeQuotaRow(const quota_row &row)
{
    json::object levels;
    for (const auto &[account, level] : row.levels)
        levels[account.value] = toJson(level);
    json::object o;
    o["holder"] = row.holder.value;
    o["incarnation"] = row.incarnation;
    o["released"] = row.isReleased;
    o["levels"] = std::move(levels);
    return json::serialize(o);
}

std::optional<quota_row> decodeQuotaRow(std::string_view text)
{
    try {
        const json::value document = json::parse(text);
        quota_row row;
        row.holder = {std::string(document.at("holder").as_string())};
        row.incarnation = document.at("incarnation").to_number<std::int64_t>();
        row.isReleased = document.at("released").as_bool();
        for (const auto &[account, level] : document.at("levels").as_object())
            row.levels.emplace(account_id{std::string(account)}, parseReservation(level));
        return row;
    } catch (const std::exception &) {
        // The caller logs the row's name, and lends nothing of it.
        return std::nullopt;
    }
}

} // namespace azurehill
