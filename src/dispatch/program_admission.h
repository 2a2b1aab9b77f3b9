#pragma once

#include "core/core.h"
#include "dispatch/slot_message.h"
#include "replicas/concurrency_limiter.h"

#include <deque>
#include <map>
#include <string>

namespace azurehill {

/// \brief Decides which programs begin at a group of engines, so that those under way end in time.
///
/// Engines that serve turns without regard to their programs make every program of a burst late:
/// each gets some of its turns, and none all of them in time. A program therefore begins only when
/// those under way leave room for it, and then its turns go before the first turns of others.
///
/// What a program needs is learned by route: the slots that one uses on average while it is under
/// way, its duration as a fraction of its time budget, and the pauses between its turns.
class program_admission
{
public:
    /// \brief What a dispatcher knows of one program.
    struct program_state
    {
        std::string route;
        /// When the program should be finished, and the time that it had for that.
        time_point finishAt;
        duration timeBudget = duration::zero();
        /// Whether a turn of it was granted, here or by an earlier dispatcher.
        bool hasBegun = false;
        /// Whether it has begun and not ended.
        bool isRunning = false;
        time_point begunAt;
        int inFlight = 0;
        int queued = 0;
        /// When a turn of it last was in flight or queued.
        time_point lastActiveAt;
    };

    /// \brief Adds the program of \p request unless it is known.
    /// \param isUnderWay whether a program that is not known yet counts as begun.
    program_state &onRequest(const slot_request &request, bool isUnderWay, time_point now);
    /// \brief A turn of \p program is in flight that an earlier dispatcher granted.
    program_state &onAdopted(const program_id &program, time_point now);
    /// \returns the program, or null if it is not known.
    program_state *find(const program_id &program);

    /// \brief A turn of \p p is queued.
    void onQueued(program_state &p);
    /// \brief A queued turn of \p p is granted.
    void onGranted(program_state &p, time_point now);
    /// \brief A queued turn of \p p is refused or no longer wanted.
    void onDequeued(program_state &p, time_point now);
    /// \brief A turn of \p p in flight has ended.
    void onReleased(program_state &p, time_point now);

    /// \returns whether a program of \p route may begin.
    /// \param isOverShare whether its account is over its share.
    /// \param slots slots of the group's available engines, of which \p freeSlots are free.
    bool mayBegin(const std::string &route, bool isOverShare, int slots, int freeSlots) const;
    /// \returns whether a program of any route may begin; parameters as for mayBegin().
    bool hasRoom(int slots, int freeSlots) const;
    /// \returns whether \p p can still end in time, if it has to wait for \p wait first.
    deadline_feasibility feasibility(const program_state &p, duration wait, time_point now) const;
    /// \returns how long the first turn at \p position of the queue is expected to wait.
    /// \param slots slots of the group's available engines.
    duration expectedWait(int position, int slots, time_point now) const;
    /// \returns how much sooner than needed \p p is expected to end; negative if it will be late.
    duration slack(const program_state &p, time_point now) const;

    /// \brief Updates what is learned, and ends programs whose turns have stopped coming.
    void update(time_point now);
    /// \returns the number of programs under way.
    int running() const;

private:
    /// Programs' target times are 1.5 to 2.8 times their duration on idle engines.
    static constexpr double initialDurationFraction = 0.6;

    struct route_state
    {
        /// Programs under way, and their turns in flight or queued.
        int programs = 0;
        int turns = 0;
        /// Program and slot seconds of the last seconds, decayed.
        double programSeconds = 0;
        double slotSeconds = 0;
        /// Duration of a program as a fraction of its time budget.
        double durationFraction = initialDurationFraction;
        /// Mean and mean deviation of the pause between two turns of a program, in seconds.
        double pauseSeconds = 0;
        double pauseDeviation = 0;
        int pauses = 0;
    };

    static double slotsPerProgram(const route_state &r);
    /// \returns the slots that the programs under way use on average.
    double demand() const;
    static duration maxPause(const route_state &r);
    duration expectedDuration(const program_state &p) const;
    void begin(program_state &p, time_point now);
    void end(program_state &p);
    void recordPause(const program_state &p, time_point now);
    void integrate(time_point now);
    const route_state *findRoute(const std::string &route) const;

    std::map<program_id, program_state> m_programs;
    std::map<std::string, route_state> m_routes;
    /// When the programs of the last seconds began.
    std::deque<time_point> m_begins;
    time_point m_updatedAt;
};

} // namespace azurehill
