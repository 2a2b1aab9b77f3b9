#pragma once

#include "rows/row.h"
#include "runtime/runtime.h"
#include "turns/turn.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace azurehill {

/// \brief Finds programs whose rows are still in the store although the daemon that tracked their
/// retention has ended.
///
/// Programs that are listed twice, with more than their retention time in between, may be such
/// programs. One page of the list is looked at after the other, and each daemon takes only a share
/// of what it finds, so that the cost does not grow with the number of daemons.
class abandoned_program_scan
{
public:
    explicit abandoned_program_scan(std::uint64_t seed) : m_random(seed) { }

    /// \returns whether the next page is to be listed at \p now.
    bool isDue(time_point now) const { return now >= m_dueAt; }
    /// \returns the partition after which the page to list begins.
    const std::string &position() const { return m_position; }
    /// \brief Delays the scan, whose next page could not be listed.
    void postpone(time_point now, duration interval) { m_dueAt = now + jittered(interval); }
    /// \brief Processes the page at position().
    /// \param interval time between two looks at a page.
    /// \param daemons number of live daemons, which all scan.
    /// \returns the programs to look at.
    std::vector<program_id> onListed(const partition_page &page, time_point now, duration interval,
                                     int daemons);

private:
    /// \returns \p interval, changed at random, so that daemons that started together don't list
    /// at the same time.
    duration jittered(duration interval);

    std::minstd_rand m_random;
    time_point m_dueAt;
    std::string m_position;
    /// The partitions that the first look at the page showed; empty before that look.
    std::set<std::string> m_seen;
};

} // namespace azurehill
