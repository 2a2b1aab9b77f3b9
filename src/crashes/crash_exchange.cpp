#include "crashes/crash_exchange.h"

#include "core/log_event.h"

#include <boost/asio/redirect_error.hpp>

#include <algorithm>
#include <cstring>

namespace azurehill {

namespace {

constexpr int transmissions = 3;
constexpr duration retryInterval = crash_exchange::shareTimeout / transmissions;
/// Notices whose acknowledgements are awaited at one time; further ones are sent once.
constexpr std::size_t maxPending = 256;
/// Requests of which this daemon remembers to whom it reported them, and for how long: custodians
/// may be replaced meanwhile.
constexpr std::size_t maxShared = 256;
constexpr duration sharedTime = seconds(60);
constexpr duration reminderInterval = seconds(1);
/// Daemons that one asks at its start.
constexpr std::size_t queriedAtStart = 3;
/// Reports in the answer to a query.
constexpr std::size_t maxQueryReports = 256;

} // namespace

endpoint crashAddress(const member_state &member)
{
    return {member.gossip.host, static_cast<std::uint16_t>(member.gossip.port + 3)};
}

crash_exchange::crash_exchange(const asio::any_io_executor &executor, crash_ledger &ledger,
                               std::uint64_t seed,
                               std::function<void(const request_fingerprint &)> onChanged)
    : m_executor(executor), m_ledger(ledger), m_onChanged(std::move(onChanged)),
      m_socket(executor, "crashes",
               [this](std::string_view text, const endpoint &from) { onDatagram(text, from); }),
      m_random(static_cast<std::uint_fast32_t>(seed))
{ }

std::uint16_t crash_exchange::start(const endpoint &address)
{
    spawn(m_executor, "exchangeCrashes", runPeriodically());
    return m_socket.listen(address);
}

void crash_exchange::setMembers(const member_state &self, std::vector<member_state> others)
{
    const bool isFirst = m_others.empty();
    m_self = self.name;
    m_others = std::move(others);
    if (isFirst) {
        std::vector<member_state> asked;
        std::sample(m_others.begin(), m_others.end(), std::back_inserter(asked), queriedAtStart,
                    m_random);
        for (const member_state &member : asked)
            m_socket.send(crashAddress(member), encodeCrashMessage(crash_query()));
    }
    informNewCustodians();
}

std::vector<const member_state *>
crash_exchange::rankCustodians(const request_fingerprint &request) const
{
    std::uint64_t seed = 0;
    std::memcpy(&seed, request.bytes.data(), sizeof seed);
    std::vector<std::pair<std::uint64_t, const member_state *>> ranked;
    ranked.reserve(m_others.size() + 1);
    ranked.emplace_back(stableHash(m_self.value, seed), nullptr);
    for (const member_state &member : m_others)
        ranked.emplace_back(stableHash(member.name.value, seed), &member);
    const std::size_t count = std::min(custodians, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    std::vector<const member_state *> result;
    std::transform(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                   std::back_inserter(result), [](const auto &r) { return r.second; });
    return result;
}

std::vector<const member_state *>
crash_exchange::custodiansOf(const request_fingerprint &request) const
{
    std::vector<const member_state *> result = rankCustodians(request);
    std::erase(result, nullptr);
    return result;
}

crash_exchange::notice_audience crash_exchange::audienceOf(const request_fingerprint &request,
                                                           crash_audience audience) const
{
    const bool isForCustodians = audience == crash_audience::AsNeeded
        && !m_ledger.isQuarantined(request, runtime_clock::now());
    if (isForCustodians) {
        // Any two majorities of the custodians have one in common.
        const std::size_t all = std::min(custodians, m_others.size() + 1);
        return {custodiansOf(request), (all - 1) / 2};
    }
    notice_audience everyone;
    for (const member_state &member : m_others)
        everyone.members.push_back(&member);
    return everyone;
}

awaitable<void> crash_exchange::share(request_fingerprint request, crash_audience audience)
{
    std::set<member_run> informed;
    while (true) {
        const notice_audience wanted = audienceOf(request, audience);
        std::map<endpoint, member_run> recipients;
        for (const member_state *member : wanted.members) {
            const member_run run(member->name, member->incarnation);
            if (informed.insert(run).second)
                recipients.emplace(crashAddress(*member), run);
        }
        if (recipients.empty())
            break;
        // What the custodians answer may be a reason to tell all others.
        co_await notify(request, std::move(recipients), wanted.optional);
    }
    if (m_shared.size() >= maxShared && !m_shared.contains(request))
        m_shared.erase(m_shared.begin());
    m_shared[request] = {std::move(informed), runtime_clock::now()};
}

awaitable<void> crash_exchange::notify(request_fingerprint request,
                                       std::map<endpoint, member_run> recipients,
                                       std::size_t optional)
{
    const auto report = m_ledger.find(request, runtime_clock::now());
    if (!report)
        co_return;
    const std::uint64_t number = ++m_lastNumber;
    pending_notice notice;
    notice.text = encodeCrashMessage(crash_notice{number, {*report}});
    notice.missing = std::move(recipients);
    notice.optional = optional;
    notice.wait = std::make_shared<timer>(m_executor);
    const auto wait = notice.wait;
    const bool isAwaited = m_pending.size() < maxPending;
    const auto pending = m_pending.emplace(number, std::move(notice)).first;
    // Transmissions are counted rather than time: a daemon that stood still has acknowledgements to
    // read when it goes on.
    for (int sent = 0; sent < transmissions && !pending->second.isDone(); ++sent) {
        for (const auto &[address, run] : pending->second.missing)
            m_socket.send(address, pending->second.text);
        if (!isAwaited)
            break;
        wait->expires_after(retryInterval);
        boost::system::error_code code;
        co_await wait->async_wait(asio::redirect_error(use_awaitable, code));
    }
    m_pending.erase(number);
}

void crash_exchange::informNewCustodians()
{
    const time_point now = runtime_clock::now();
    std::erase_if(m_shared,
                  [now](const auto &item) { return now >= item.second.sharedAt + sharedTime; });
    for (auto &[request, shared] : m_shared) {
        const auto report = m_ledger.find(request, now);
        if (!report)
            continue;
        for (const member_state *member : custodiansOf(request)) {
            if (shared.informed.insert({member->name, member->incarnation}).second)
                m_socket.send(crashAddress(*member),
                              encodeCrashMessage(crash_notice{0, {*report}}));
        }
    }
}

awaitable<void> crash_exchange::runPeriodically()
{
    while (true) {
        co_await sleepFor(reminderInterval);
        expire();
        sendReminder();
    }
}

void crash_exchange::expire()
{
    for (const crash_report &report : m_ledger.expire(runtime_clock::now())) {
        if (m_onExpired && rankCustodians(report.request).front() == nullptr)
            m_onExpired(report);
    }
}

void crash_exchange::sendReminder()
{
    const std::vector<crash_report> all = m_ledger.quarantined(runtime_clock::now());
    if (all.empty() || m_others.empty())
        return;
    crash_notice notice;
    for (std::size_t i = 0; i < std::min(maxReportsPerMessage, all.size()); ++i)
        notice.reports.push_back(all[m_reminded++ % all.size()]);
    std::uniform_int_distribution<std::size_t> any(0, m_others.size() - 1);
    m_socket.send(crashAddress(m_others[any(m_random)]), encodeCrashMessage(notice));
}

void crash_exchange::sendQuarantined(const endpoint &to)
{
    std::vector<crash_report> all = m_ledger.quarantined(runtime_clock::now());
    all.resize(std::min(all.size(), maxQueryReports));
    for (std::size_t i = 0; i < all.size(); i += maxReportsPerMessage) {
        crash_notice notice;
        const std::size_t end = std::min(all.size(), i + maxReportsPerMessage);
        notice.reports.assign(all.begin() + static_cast<std::ptrdiff_t>(i),
                              all.begin() + static_cast<std::ptrdiff_t>(end));
        m_socket.send(to, encodeCrashMessage(notice));
    }
}

void crash_exchange::merge(const std::vector<crash_report> &reports)
{
    for (const crash_report &report : reports) {
        if (m_ledger.merge(report, runtime_clock::now()))
            m_onChanged(report.request);
    }
}

std::vector<crash_report> crash_exchange::ownReports(const std::vector<crash_report> &reports) const
{
    std::vector<crash_report> result;
    for (const crash_report &report : reports) {
        if (auto own = m_ledger.find(report.request, runtime_clock::now()))
            result.push_back(std::move(*own));
    }
    return result;
}

void crash_exchange::onDatagram(std::string_view text, const endpoint &from)
{
    const auto message = decodeCrashMessage(text);
    if (!message) {
        logDecision(log_event::GossipUnreadable, {{"from", from.host}});
        return;
    }
    if (const auto *notice = std::get_if<crash_notice>(&*message)) {
        merge(notice->reports);
        if (notice->number != 0) {
            const crash_acknowledgement answer{notice->number, ownReports(notice->reports)};
            m_socket.send(from, encodeCrashMessage(answer));
        }
    } else if (const auto *answer = std::get_if<crash_acknowledgement>(&*message)) {
        merge(answer->reports);
        const auto pending = m_pending.find(answer->number);
        if (pending == m_pending.end())
            return;
        pending->second.missing.erase(from);
        if (pending->second.isDone())
            pending->second.wait->cancel();
    } else {
        sendQuarantined(from);
    }
}

} // namespace azurehill
