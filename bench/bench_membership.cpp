// What membership costs one daemon in a second in which nothing happens, at several sizes of a
// cell: the real decisions and the real texts, without sockets. HTTP heads are left out; their
// number is that of the messages.

#include "bench/fit.h"
#include "inner/inner.h"
#include "ownership/ownership.h"

#include <fmt/format.h>

#include <deque>
#include <map>

namespace azurehill::bench {

namespace {

constexpr int simulatedSeconds = 60;
constexpr int warmUpSeconds = 10;
constexpr duration tick = milliseconds(50);
constexpr int ticksPerSecond = 20;
/// As in the daemon's membership loop.
constexpr int ticksPerTableRead = 5;

struct cost
{
    double messages = 0;
    double bytes = 0;

    void add(std::size_t size)
    {
        ++messages;
        bytes += static_cast<double>(size);
    }
};

struct costs
{
    cost heartbeats;
    cost viewReads;
    cost leaseReads;
    cost renewals;
};

struct daemon_model
{
    daemon_model(const member &self)
        : run{self.daemon, self.incarnation}, members(self, {}), detector(self.daemon, {}),
          server([this](const heartbeat &beat) { return answer(beat); })
    { }

    heartbeat answer(const heartbeat &beat)
    {
        detector.onMessageReceived(beat.from, now);
        detector.onEvidence(beat.evidence, now);
        return {run, detector.evidence(now)};
    }

    daemon_run run;
    membership members;
    failure_detector detector;
    inner_server server;
    time_point now;
};

cell_view makeCell(int size)
{
    cell_view view{1, 1, {}};
    for (int i = 0; i < size; ++i) {
        view.members.push_back({{fmt::format("entry-riohacha-{:04}", i)},
                                fmt::format("{:012x}", i),
                                fmt::format("10.0.{}.{}:8080", i / 250, i % 250),
                                fmt::format("10.0.{}.{}:8081", i / 250, i % 250),
                                {"riohacha"}});
    }
    return view;
}

/// \brief A cell in one process, in which every message is encoded and decoded.
class cell_bench
{
public:
    explicit cell_bench(int size) : m_view(makeCell(size))
    {
        for (const member &m : m_view.members) {
            daemon_model &d = m_daemons.emplace_back(m);
            d.members.onView(m_view, m_now);
            d.detector.onView(m_view, m_now);
            m_byId[m.daemon] = &d;
        }
    }

    /// \returns what all daemons together sent and received in the measured seconds.
    costs run()
    {
        for (int t = 0; t < (warmUpSeconds + simulatedSeconds) * ticksPerSecond; ++t) {
            if (t == warmUpSeconds * ticksPerSecond)
                m_costs = {};
            m_now += tick;
            int index = 0;
            for (daemon_model &d : m_daemons) {
                renew(d);
                if ((t + index++) % ticksPerTableRead == 0)
                    readTable(d);
                beat(d);
            }
        }
        return m_costs;
    }

    int viewChanges() const { return m_viewChanges; }

private:
    void renew(daemon_model &d)
    {
        const auto renewal = d.members.pollLease(m_now);
        if (!renewal)
            return;
        const std::string text = encode(renewal->lease);
        m_costs.renewals.add(text.size());
        m_leases[d.run.daemon] = text;
        d.members.onRenewed(m_now);
    }

    void readTable(daemon_model &d)
    {
        m_costs.viewReads.add(m_viewText.size());
        d.members.onView(*decodeView({"view/main", m_viewText, m_view.version}), m_now);
        std::vector<lease_record> leases;
        std::size_t size = 0;
        for (const auto &[id, text] : m_leases) {
            size += text.size();
            leases.push_back(*decodeLease(text));
        }
        m_costs.leaseReads.add(size);
        d.members.onLeases(leases, m_now, m_now);
        m_viewChanges += static_cast<int>(d.members.poll(m_now).size());
    }

    void beat(daemon_model &d)
    {
        for (const member &to : d.detector.poll(m_now)) {
            daemon_model &receiver = *m_byId.at(to.daemon);
            receiver.now = m_now;
            const std::string request
                = encodeRequest({d.run, d.detector.evidence(m_now)}, ++m_requests);
            const std::string response = receiver.server.answer(request);
            // One daemon's request is another's; each of the two texts is sent and received.
            m_costs.heartbeats.add(2 * request.size());
            m_costs.heartbeats.add(2 * response.size());
            const auto answer = decodeResponse(response);
            d.detector.onMessageReceived(answer->from, m_now);
            d.detector.onEvidence(answer->evidence, m_now);
        }
    }

    cell_view m_view;
    std::string m_viewText = encode(m_view);
    std::deque<daemon_model> m_daemons;
    std::map<daemon_id, daemon_model *> m_byId;
    std::map<daemon_id, std::string> m_leases;
    time_point m_now{seconds(1000)};
    std::uint64_t m_requests = 0;
    int m_viewChanges = 0;
    costs m_costs;
};

struct row
{
    const char *name;
    cost costs::*part;
};

constexpr row rows[] = {{"heartbeats", &costs::heartbeats},
                        {"view reads", &costs::viewReads},
                        {"lease reads", &costs::leaseReads},
                        {"lease renewals", &costs::renewals}};

void measure()
{
    std::map<std::string, std::vector<sample>> bytes;
    fmt::print("daemons  part            messages/s  bytes/s\n");
    for (const int size : {10, 50, 200}) {
        cell_bench cell(size);
        const costs all = cell.run();
        for (const row &r : rows) {
            const cost &c = all.*r.part;
            const double perDaemon = 1.0 / (size * simulatedSeconds);
            fmt::print("{:7}  {:14}  {:10.2f}  {:7.0f}\n", size, r.name, c.messages * perDaemon,
                       c.bytes * perDaemon);
            bytes[r.name].push_back({static_cast<double>(size), c.bytes * perDaemon});
        }
        if (cell.viewChanges() > 0)
            fmt::print("{} view changes in a quiet cell: a fault\n", cell.viewChanges());
    }
    for (const row &r : rows) {
        const line_fit fit = fitLine(bytes[r.name]);
        fmt::print("{:14}  {:8.1f} + {:6.2f} (+- {:.2f}) a daemon  bytes/s\n", r.name,
                   fit.intercept, fit.slope, fit.slopeError);
    }
}

} // namespace

} // namespace azurehill::bench

int main()
{
    azurehill::bench::measure();
}
