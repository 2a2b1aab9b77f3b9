#include "dispatch/program_admission.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

using seconds_double = std::chrono::duration<double>;

/// Fraction of the slots that programs under way may use on average. The rest covers the moments in
/// which more of them have a turn at once than on average.
constexpr double maxUtilisation = 0.95;
/// With more free slots than this fraction, a program begins whatever the averages say: they are
/// too high while short programs follow long ones.
constexpr double idleFraction = 0.15;
/// The same for programs of an account that is over its share: the rest is for the others, whose
/// turns wait longer the fuller the slots are.
constexpr double maxOverShareUtilisation = 0.75;
constexpr double overShareIdleFraction = 0.4;
/// Time over which the use of slots is averaged.
constexpr double averagingSeconds = 4;
/// Minimum observed running time of a route's programs before its averages are used, in seconds.
constexpr double minProgramSeconds = 2;
constexpr double defaultSlotsPerProgram = 0.5;
constexpr double sampleWeight = 0.05;
constexpr double minDurationFraction = 0.2;
constexpr double maxDurationFraction = 0.9;
/// Margin on the expected duration, as programs of one route differ in length.
constexpr double durationMargin = 1.15;
constexpr duration defaultMaxPause = milliseconds(600);
constexpr duration minMaxPause = milliseconds(300);
constexpr duration maxMaxPause = seconds(3);
constexpr int minPauses = 20;
/// Deviations above the mean that a pause rarely exceeds.
constexpr double pauseDeviations = 4;
constexpr duration beginRateWindow = seconds(2);
/// Lower bound of the rate of begins, for each slot, while too few programs have begun to tell.
constexpr double minBeginsPerSlotSecond = 0.1;
/// Time after which a program without turns is forgotten. Clients retry for less.
constexpr duration retention = seconds(10);

double toSeconds(duration d)
{
    return std::chrono::duration_cast<seconds_double>(d).count();
}

duration fromSeconds(double s)
{
    return std::chrono::duration_cast<duration>(seconds_double(s));
}

} // namespace

program_admission::program_state &program_admission::onRequest(const slot_request &request,
                                                               bool isUnderWay, time_point now)
{
    const auto [found, isNew] = m_programs.try_emplace(request.program);
    program_state &p = found->second;
    if (p.timeBudget == duration::zero()) {
        // Without a target time, or after it has passed, the request's own time is all that is
        // known of how long the result is of use.
        p.timeBudget = request.timeToFinish.value_or(request.timeLeft);
        p.finishAt = now + p.timeBudget;
        if (p.timeBudget <= duration::zero())
            p.timeBudget = request.timeLeft;
    }
    if (p.route.empty() && p.isRunning) {
        end(p);
        p.route = request.route;
        begin(p, now);
    }
    // A program under way counts for the route that it began on, also with turns of others.
    if (!p.isRunning)
        p.route = request.route;
    if (isNew) {
        p.lastActiveAt = now;
        if (isUnderWay)
            begin(p, now);
    }
    // When the previous turn of a program that was just taken over ended is not known.
    if (!isNew && p.hasBegun && p.inFlight + p.queued == 0)
        recordPause(p, now);
    return p;
}

program_admission::program_state &program_admission::onAdopted(const program_id &program,
                                                               time_point now)
{
    program_state &p = m_programs[program];
    if (!p.isRunning)
        begin(p, now);
    ++p.inFlight;
    ++m_routes[p.route].turns;
    return p;
}

program_admission::program_state *program_admission::find(const program_id &program)
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() ? nullptr : &found->second;
}

void program_admission::begin(program_state &p, time_point now)
{
    if (!p.hasBegun)
        p.begunAt = now;
    p.hasBegun = true;
    p.isRunning = true;
    p.lastActiveAt = now;
    route_state &r = m_routes[p.route];
    ++r.programs;
    r.turns += p.inFlight + p.queued;
}

void program_admission::end(program_state &p)
{
    p.isRunning = false;
    route_state &r = m_routes[p.route];
    --r.programs;
    r.turns -= p.inFlight + p.queued;
}

void program_admission::recordPause(const program_state &p, time_point now)
{
    route_state &r = m_routes[p.route];
    const double pause = toSeconds(now - p.lastActiveAt);
    if (pause > toSeconds(maxMaxPause))
        return;
    const double weight = std::max(sampleWeight, 1.0 / ++r.pauses);
    r.pauseDeviation += weight * (std::abs(pause - r.pauseSeconds) - r.pauseDeviation);
    r.pauseSeconds += weight * (pause - r.pauseSeconds);
}

duration program_admission::maxPause(const route_state &r)
{
    if (r.pauses < minPauses)
        return defaultMaxPause;
    return std::clamp<duration>(fromSeconds(r.pauseSeconds + pauseDeviations * r.pauseDeviation),
                                minMaxPause, maxMaxPause);
}

void program_admission::onQueued(program_state &p)
{
    ++p.queued;
    if (p.isRunning)
        ++m_routes[p.route].turns;
}

void program_admission::onGranted(program_state &p, time_point now)
{
    const bool isBegin = !p.hasBegun;
    --p.queued;
    ++p.inFlight;
    if (!p.isRunning)
        begin(p, now);
    p.lastActiveAt = now;
    if (isBegin)
        m_begins.push_back(now);
}

void program_admission::onDequeued(program_state &p, time_point now)
{
    --p.queued;
    if (p.isRunning)
        --m_routes[p.route].turns;
    p.lastActiveAt = now;
}

void program_admission::onReleased(program_state &p, time_point now)
{
    --p.inFlight;
    if (p.isRunning)
        --m_routes[p.route].turns;
    p.lastActiveAt = now;
}

double program_admission::slotsPerProgram(const route_state &r)
{
    return r.programSeconds < minProgramSeconds ? defaultSlotsPerProgram
                                                : r.slotSeconds / r.programSeconds;
}

const program_admission::route_state *program_admission::findRoute(const std::string &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? nullptr : &found->second;
}

double program_admission::demand() const
{
    double sum = 0;
    for (const auto &[name, r] : m_routes)
        sum += r.programs * slotsPerProgram(r);
    return sum;
}

bool program_admission::hasRoom(int slots, int freeSlots) const
{
    return freeSlots > idleFraction * slots || demand() <= maxUtilisation * slots;
}

bool program_admission::mayBegin(const std::string &route, bool isOverShare, int slots,
                                 int freeSlots) const
{
    if (slots <= 0)
        return false;
    if (freeSlots > (isOverShare ? overShareIdleFraction : idleFraction) * slots)
        return true;
    const route_state *const r = findRoute(route);
    const double own = r ? slotsPerProgram(*r) : defaultSlotsPerProgram;
    return demand() + own <= (isOverShare ? maxOverShareUtilisation : maxUtilisation) * slots;
}

duration program_admission::expectedDuration(const program_state &p) const
{
    const route_state *const r = findRoute(p.route);
    const double fraction = r ? r->durationFraction : initialDurationFraction;
    return fromSeconds(fraction * durationMargin * toSeconds(p.timeBudget));
}

duration program_admission::slack(const program_state &p, time_point now) const
{
    const duration left = p.finishAt - now;
    return p.hasBegun ? left : left - expectedDuration(p);
}

deadline_feasibility program_admission::feasibility(const program_state &p, duration wait,
                                                    time_point now) const
{
    const duration left = slack(p, now) - wait;
    if (left >= duration::zero())
        return deadline_feasibility::OnTime;
    // Within twice the program's time, its result is still of use.
    return left + p.timeBudget >= duration::zero() ? deadline_feasibility::Late
                                                   : deadline_feasibility::Lost;
}

duration program_admission::expectedWait(int position, int slots, time_point now) const
{
    const auto recent = std::count_if(m_begins.begin(), m_begins.end(),
                                      [now](time_point t) { return now - t <= beginRateWindow; });
    const double rate = std::max(double(recent) / toSeconds(beginRateWindow),
                                 minBeginsPerSlotSecond * std::max(1, slots));
    return fromSeconds(position / rate);
}

void program_admission::integrate(time_point now)
{
    const double elapsed = m_updatedAt == time_point() ? 0 : toSeconds(now - m_updatedAt);
    m_updatedAt = now;
    const double decay = std::exp(-elapsed / averagingSeconds);
    for (auto &[name, r] : m_routes) {
        r.programSeconds = decay * r.programSeconds + elapsed * r.programs;
        r.slotSeconds = decay * r.slotSeconds + elapsed * r.turns;
    }
}

void program_admission::update(time_point now)
{
    integrate(now);
    while (!m_begins.empty() && now - m_begins.front() > beginRateWindow)
        m_begins.pop_front();
    for (auto &[id, p] : m_programs) {
        if (!p.isRunning || p.inFlight + p.queued > 0)
            continue;
        route_state &r = m_routes[p.route];
        if (now <= p.lastActiveAt + maxPause(r))
            continue;
        end(p);
        const double fraction
            = toSeconds(p.lastActiveAt - p.begunAt) / std::max(0.001, toSeconds(p.timeBudget));
        r.durationFraction += sampleWeight
            * (std::clamp(fraction, minDurationFraction, maxDurationFraction) - r.durationFraction);
    }
    std::erase_if(m_programs, [now](const auto &item) {
        const program_state &p = item.second;
        return !p.isRunning && p.inFlight + p.queued == 0 && now > p.lastActiveAt + retention;
    });
}

int program_admission::running() const
{
    int sum = 0;
    for (const auto &[name, r] : m_routes)
        sum += r.programs;
    return sum;
}

} // namespace azurehill
