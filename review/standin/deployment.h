// A small deployment: a store, some replicas and some daemons.
#pragma once

#include "harness.h"

namespace review {

/// A replica of a service: it runs requests and records them.
class replica
{
public:
    /// Runs one request. \returns whether the connection goes on.
    using run_function = std::function<bool(const http_message &, connection &)>;
    replica(const std::string &id, const std::string &ip, run_function run);
    std::string entry(const std::string &service, const std::string &state, int sequence,
                      int slots) const;
    const std::string &id() const { return m_id; }

private:
    std::string m_id;
    run_function m_run;
    std::unique_ptr<server> m_server;
};

class deployment
{
public:
    /// \param daemons number of daemons.
    explicit deployment(int daemons);
    row_store &store() { return *m_store; }
    const std::vector<host> &hosts() const { return m_hosts; }
    daemon_process &daemon(std::size_t i) { return *m_daemons[i]; }
    void addReplica(const std::string &id, const std::string &service, int slots,
                    replica::run_function run);
    /// Writes the configuration as the operator does.
    void configure(const std::string &configuration);
    /// Starts all daemons and waits until they are ready. Ends the process with 2 if they are not.
    void start();
    /// Starts daemon \p i again.
    void restart(std::size_t i);
    std::string settingsPath(std::size_t i) const;
    std::string logPath(std::size_t i) const;

private:
    void beat();
    std::unique_ptr<row_store> m_store;
    std::vector<host> m_hosts;
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    struct listed
    {
        std::unique_ptr<replica> process;
        std::string service;
        int slots;
        int sequence = 1;
    };
    std::vector<listed> m_replicas;
    std::thread m_beats;
    std::atomic<bool> m_stop{false};

public:
    ~deployment();
};

/// The configuration of the page's small deployment: two streaming routes whose history the
/// system keeps, and three plain ones.
std::string smallConfiguration(int version, double retentionSeconds = 60);
/// Headers of a replica's answer to \p request.
std::vector<std::pair<std::string, std::string>> stamped(const http_message &request);
std::string newId();

/// Answers a turn as a model replica does: \p events events, spread evenly over \p spanMs.
/// \returns whether the connection goes on.
bool streamEvents(const http_message &request, connection &c, int events, long long spanMs);
/// \returns the number of events in the body of an answer.
int eventsIn(const std::string &body);

/// A program of agent turns, as a client sends them.
struct program
{
    std::string id = newId();
    long long began = now();
    int budgetTokens = 0;
    int turnTokens = 0; ///< most tokens of one turn
    /// Sends one turn on \p c and records it.
    attempt turn(connection &c, const std::string &path, const std::string &previous,
                 const std::string &body);
};

} // namespace review
