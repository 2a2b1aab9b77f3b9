#include "quota/quota_row.h"

#include <boost/json.hpp>

#include <limits>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

/// Maximum remaining time of a peer's share; far above any window.
constexpr std::int64_t maxPeerShareMs = 600'000;

int parseCredits(const json::value &value)
{
    const auto credits = value.to_number<std::int64_t>();
    if (credits < 0 || credits > std::numeric_limits<int>::max())
        throw std::out_of_range("number of credits out of range");
    return static_cast<int>(credits);
}

json::value toJson(const credit_reservation &reservation)
{
    json::array shares;
    for (const credit_reservation::peer_share &share : reservation.peerCredits) {
        json::array item;
        item.emplace_back(share.credits);
        item.emplace_back(toMilliseconds(share.left));
        shares.emplace_back(std::move(item));
    }
    json::object o;
    o["credits"] = reservation.credits;
    o["foreign"] = std::move(shares);
    return o;
}

credit_reservation parseReservation(const json::value &value)
{
    credit_reservation reservation;
    reservation.credits = parseCredits(value.at("credits"));
    for (const json::value &item : value.at("foreign").as_array()) {
        const auto left = item.as_array().at(1).to_number<std::int64_t>();
        if (left < 0 || left > maxPeerShareMs)
            throw std::out_of_range("remaining time of a peer's share out of range");
        reservation.peerCredits.push_back(
            {parseCredits(item.as_array().at(0)), milliseconds(left)});
    }
    return reservation;
}

} // namespace

std::string encodeQuotaRow(const quota_row &row)
{
    json::object reservations;
    for (const auto &[account, reservation] : row.reservations)
        reservations[account.value] = toJson(reservation);
    json::object o;
    o["holder"] = row.holder.value;
    o["incarnation"] = row.incarnation;
    o["released"] = row.isReleased;
    o["levels"] = std::move(reservations);
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
        for (const auto &[account, reservation] : document.at("levels").as_object())
            row.reservations.emplace(account_id{std::string(account)},
                                     parseReservation(reservation));
        return row;
    } catch (const std::exception &) {
        // The caller logs the error with the row's name, and lends no credits of that row.
        return std::nullopt;
    }
}

} // namespace azurehill
