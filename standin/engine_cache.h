#pragma once

#include "core/ids.h"
#include "core/runtime_clock.h"
#include "http/http_message.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurehill::standin {

/// \brief How an engine tells of its cache and takes orders.
struct engine_cache_settings
{
    /// Whether an order that carries an older fencing number than an earlier one is refused.
    bool checksFencing = true;
    /// How late a cache event is published.
    duration eventLag{};
    /// Every so many events one is never published; 0 publishes all.
    std::int64_t gapEvery = 0;
};

/// \brief The memory that an engine holds for programs. One thread uses it.
class engine_cache
{
public:
    explicit engine_cache(engine_cache_settings settings) : m_settings(settings) { }

    /// \brief Holds \p tokens for \p program.
    void store(const std::string &program, std::int64_t tokens);
    /// \brief Answers "POST /orders/release", "GET /programs" and "GET /cache/events?after=N".
    http_response answer(const http_request &request);

private:
    struct event
    {
        std::int64_t number;
        std::string kind;
        std::string program;
        time_point visibleAt;
    };

    void publish(std::string kind, const std::string &program);
    http_response release(const std::string &body);
    http_response programs() const;
    http_response eventsAfter(std::int64_t number) const;

    engine_cache_settings m_settings;
    std::map<std::string, std::int64_t> m_held;
    std::vector<event> m_events;
    std::int64_t m_eventCount = 0;
    fencing_number m_highestFence = 0;
};

} // namespace azurehill::standin
