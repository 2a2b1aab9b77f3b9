#include "dispatch/slot_message.h"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

/// \brief Message kinds, in the order of the alternatives of \c slot_message. The numbers are part
/// of the wire format.
enum class message_kind { Request, Queued, Grant, Refusal, Release, Renewal, Renewed };

/// Upper bound to which received durations are clamped.
constexpr std::int64_t maxMs = 600'000;
/// Upper bound of received numbers of tokens, so that sums don't overflow.
constexpr std::int64_t maxTokens = 1'000'000'000'000;
/// Number that stands for a missing duration or budget.
constexpr std::int64_t missing = -1;

void add(json::array &a, const slot_ticket &ticket)
{
    a.emplace_back(ticket.daemon.value);
    a.emplace_back(ticket.incarnation);
    a.emplace_back(ticket.number);
}

void add(json::array &a, const replica_incarnation &replica)
{
    a.emplace_back(replica.id.value);
    a.emplace_back(replica.startedUnixMs);
}

/// \brief Visitor that appends the fields of a message to a JSON array, which is more compact than
/// an object.
struct message_writer
{
    json::array &a;

    void operator()(const slot_request &m) const
    {
        add(a, m.ticket);
        a.emplace_back(m.service);
        a.emplace_back(m.route);
        a.emplace_back(m.account.value);
        a.emplace_back(m.accountWeight);
        a.emplace_back(m.program.value);
        a.emplace_back(m.session);
        a.emplace_back(m.requestId);
        a.emplace_back(m.rank);
        // Negative numbers stand for a missing time.
        a.emplace_back(m.timeToFinish ? std::max<std::int64_t>(0, toMilliseconds(*m.timeToFinish))
                                      : missing);
        a.emplace_back(toMilliseconds(m.timeLeft));
        a.emplace_back(m.promptTokens);
        a.emplace_back(m.budgetTokens.value_or(missing));
        a.emplace_back(m.maxOutputTokens);
        a.emplace_back(toMilliseconds(m.retention));
    }
    void operator()(const slot_queued &m) const { a.emplace_back(m.number); }
    void operator()(const slot_grant &m) const
    {
        a.emplace_back(m.number);
        add(a, m.replica);
        a.emplace_back(m.cachedTokens);
    }
    void operator()(const slot_refusal &m) const
    {
        a.emplace_back(m.number);
        a.emplace_back(static_cast<int>(m.reason));
        a.emplace_back(toMilliseconds(m.retryAfter));
    }
    void operator()(const slot_release &m) const
    {
        add(a, m.ticket);
        a.emplace_back(m.service);
        a.emplace_back(m.program.value);
        a.emplace_back(m.requestId);
        a.emplace_back(static_cast<int>(m.outcome));
        a.emplace_back(m.usedTokens);
        a.emplace_back(m.msPerEvent);
    }
    void operator()(const slot_renewal &m) const
    {
        a.emplace_back(m.daemon.value);
        a.emplace_back(m.incarnation);
        a.emplace_back(m.service);
        a.emplace_back(m.group);
        a.emplace_back(m.firstNumber);
        a.emplace_back(m.lastNumber);
        for (const active_ticket &t : m.tickets) {
            json::array fields;
            fields.emplace_back(t.number);
            fields.emplace_back(t.program.value);
            fields.emplace_back(t.session);
            add(fields, t.replica);
            fields.emplace_back(t.maxOutputTokens);
            a.emplace_back(std::move(fields));
        }
    }
    void operator()(const slot_renewed &m) const
    {
        a.emplace_back(m.service);
        a.emplace_back(m.group);
    }
};

/// \brief Reads the elements of a JSON array one after another. All functions throw on a missing
/// element or one of another type.
class array_reader
{
public:
    explicit array_reader(const json::array &array) : m_array(array) { }

    const json::value &next() { return m_array.at(m_place++); }
    bool atEnd() const { return m_place >= m_array.size(); }
    std::string text() { return std::string(next().as_string()); }
    template <class Number>
    Number number()
    {
        return next().to_number<Number>();
    }
    std::int64_t tokens() { return std::clamp<std::int64_t>(number<std::int64_t>(), 0, maxTokens); }
    std::optional<std::int64_t> optionalNumber()
    {
        const auto value = number<std::int64_t>();
        return value < 0 ? std::nullopt : std::optional(std::min(value, maxTokens));
    }
    duration time()
    {
        return milliseconds(std::clamp<std::int64_t>(number<std::int64_t>(), 0, maxMs));
    }
    std::optional<duration> optionalTime()
    {
        const auto ms = number<std::int64_t>();
        return ms < 0 ? std::nullopt : std::optional<duration>(milliseconds(std::min(ms, maxMs)));
    }
    slot_ticket ticket()
    {
        slot_ticket t;
        t.daemon.value = text();
        t.incarnation = number<std::int64_t>();
        t.number = number<std::uint64_t>();
        return t;
    }
    replica_incarnation replica()
    {
        replica_incarnation r;
        r.id.value = text();
        r.startedUnixMs = number<std::int64_t>();
        return r;
    }
    template <class Enum>
    Enum enumerator()
    {
        const auto value = number<std::size_t>();
        if (value >= enum_names<Enum>::names.size())
            throw std::out_of_range("enumerator");
        return static_cast<Enum>(value);
    }

private:
    const json::array &m_array;
    std::size_t m_place = 0;
};

slot_request readRequest(array_reader &in)
{
    slot_request m;
    m.ticket = in.ticket();
    m.service = in.text();
    m.route = in.text();
    m.account.value = in.text();
    m.accountWeight = in.number<double>();
    m.program.value = in.text();
    m.session = in.text();
    m.requestId = in.text();
    m.rank = in.number<int>();
    m.timeToFinish = in.optionalTime();
    m.timeLeft = in.time();
    m.promptTokens = in.tokens();
    m.budgetTokens = in.optionalNumber();
    m.maxOutputTokens = in.tokens();
    m.retention = in.time();
    if (!(m.accountWeight > 0))
        throw std::out_of_range("weight");
    return m;
}

slot_release readRelease(array_reader &in)
{
    slot_release m;
    m.ticket = in.ticket();
    m.service = in.text();
    m.program.value = in.text();
    m.requestId = in.text();
    m.outcome = in.enumerator<send_outcome>();
    m.usedTokens = in.tokens();
    m.msPerEvent = in.number<double>();
    return m;
}

slot_renewal readRenewal(array_reader &in)
{
    slot_renewal m;
    m.daemon.value = in.text();
    m.incarnation = in.number<std::int64_t>();
    m.service = in.text();
    m.group = in.number<std::uint32_t>();
    m.firstNumber = in.number<std::uint64_t>();
    m.lastNumber = in.number<std::uint64_t>();
    while (!in.atEnd()) {
        array_reader fields(in.next().as_array());
        active_ticket t;
        t.number = fields.number<std::uint64_t>();
        t.program.value = fields.text();
        t.session = fields.text();
        t.replica = fields.replica();
        t.maxOutputTokens = fields.tokens();
        m.tickets.push_back(std::move(t));
    }
    return m;
}

slot_message readMessage(const json::array &array)
{
    array_reader in(array);
    switch (in.number<int>()) {
    case static_cast<int>(message_kind::Request):
        return readRequest(in);
    case static_cast<int>(message_kind::Queued):
        return slot_queued{in.number<std::uint64_t>()};
    case static_cast<int>(message_kind::Grant): {
        const auto number = in.number<std::uint64_t>();
        const replica_incarnation replica = in.replica();
        return slot_grant{number, replica, in.tokens()};
    }
    case static_cast<int>(message_kind::Refusal): {
        const auto number = in.number<std::uint64_t>();
        const auto reason = in.enumerator<slot_refusal_reason>();
        return slot_refusal{number, reason, in.time()};
    }
    case static_cast<int>(message_kind::Release):
        return readRelease(in);
    case static_cast<int>(message_kind::Renewal):
        return readRenewal(in);
    case static_cast<int>(message_kind::Renewed): {
        std::string service = in.text();
        return slot_renewed{std::move(service), in.number<std::uint32_t>()};
    }
    default:
        throw std::invalid_argument("unknown message kind");
    }
}

} // namespace

std::string encodeSlotMessage(const slot_message &message)
{
    json::array a;
    a.emplace_back(message.index());
    std::visit(message_writer{a}, message);
    return json::serialize(a);
}

std::optional<slot_message> decodeSlotMessage(std::string_view text)
{
    try {
        // Clients' ids may contain any byte.
        json::parse_options options;
        options.allow_invalid_utf8 = true;
        const json::value document = json::parse(text, {}, options);
        return readMessage(document.as_array());
    } catch (const std::exception &) {
        // The caller logs the error with the sender.
        return std::nullopt;
    }
}

} // namespace azurehill
