#include "quota/quota_message.h"

#include <boost/json.hpp>

#include <algorithm>

namespace azurehill {

namespace json = boost::json;

namespace {

/// \brief Kinds of datagrams in the order of the variant's alternatives.
enum class message_kind { Request, Lent, Denied, NotHolder, Return };

/// Longest time to come back that a datagram may tell.
constexpr std::int64_t maxRetryAfterMs = 60'000;

json::array start(message_kind kind)
{
    json::array a;
    a.emplace_back(static_cast<int>(kind));
    return a;
}

void add(json::array &a, const credit_id &id, const account_id &account)
{
    a.emplace_back(id.number);
    a.emplace_back(id.borrower.value);
    a.emplace_back(id.incarnation);
    a.emplace_back(account.value);
}

/// \brief Writes each kind of message as an array, which is short.
struct message_writer
{
    json::array operator()(const credit_request &m) const
    {
        json::array a = start(message_kind::Request);
        add(a, m.id, m.account);
        a.emplace_back(static_cast<int>(m.use));
        return a;
    }
    json::array operator()(const credit_lent &m) const
    {
        json::array a = start(message_kind::Lent);
        a.emplace_back(m.number);
        return a;
    }
    json::array operator()(const credit_denied &m) const
    {
        json::array a = start(message_kind::Denied);
        a.emplace_back(m.number);
        a.emplace_back(toMilliseconds(m.retryAfter));
        return a;
    }
    json::array operator()(const not_holder &m) const
    {
        json::array a = start(message_kind::NotHolder);
        a.emplace_back(m.number);
        a.emplace_back(m.holder.value);
        return a;
    }
    json::array operator()(const credit_return &m) const
    {
        json::array a = start(message_kind::Return);
        add(a, m.id, m.account);
        return a;
    }
};

std::string textAt(const json::array &a, std::size_t place)
{
    return std::string(a.at(place).as_string());
}

std::uint64_t numberAt(const json::array &a, std::size_t place)
{
    return a.at(place).to_number<std::uint64_t>();
}

credit_id idIn(const json::array &a)
{
    return {{textAt(a, 2)}, a.at(3).to_number<std::int64_t>(), numberAt(a, 1)};
}

quota_message messageIn(const json::array &a)
{
    switch (static_cast<message_kind>(a.at(0).to_number<int>())) {
    case message_kind::Request: {
        const int use = a.at(5).to_number<int>();
        return credit_request{
            idIn(a), {textAt(a, 4)}, use == 0 ? credit_use::Begin : credit_use::Continue};
    }
    case message_kind::Lent:
        return credit_lent{numberAt(a, 1)};
    case message_kind::Denied: {
        const auto ms = a.at(2).to_number<std::int64_t>();
        return credit_denied{numberAt(a, 1),
                             milliseconds(std::clamp<std::int64_t>(ms, 0, maxRetryAfterMs))};
    }
    case message_kind::NotHolder:
        return not_holder{numberAt(a, 1), {textAt(a, 2)}};
    case message_kind::Return:
        return credit_return{idIn(a), {textAt(a, 4)}};
    }
    throw std::invalid_argument("kind of message");
}

} // namespace

std::string encodeQuotaMessage(const quota_message &message)
{
    return json::serialize(std::visit(message_writer(), message));
}

std::optional<quota_message> decodeQuotaMessage(std::string_view text)
{
    try {
        const json::value document = json::parse(text);
        return messageIn(document.as_array());
    } catch (const std::exception &) {
        // The caller logs the sender.
        return std::nullopt;
    }
}

} // namespace azurehill
