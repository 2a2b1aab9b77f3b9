#pragma once

#include "entry/engine_places.h"
#include "entry/own_answers.h"
#include "entry/upstream_sender.h"

#include <string>

namespace azurehill {

/// \brief How the relay of a stream ended.
struct stream_end
{
    bool isWhole = false;
    /// Data of the events, each followed by a line feed.
    std::string output;
    std::int64_t events = 0;
};

/// \brief Relays replicas' answers to clients. Used on the traffic thread.
class answer_relay
{
public:
    /// Answers up to this size are read whole before their first byte goes out, so that one that
    /// breaks off can be asked of another replica.
    static constexpr std::size_t bufferedAnswer = 256U << 10U;

    answer_relay(upstream_sender &sender, replica_board &board, engine_places &places,
                 own_answers &answers, entry_metrics &metrics);

    /// \brief Reads the answer of \p reply into \p body, up to a little more than bufferedAnswer.
    /// \returns whether it did not break off.
    awaitable<bool> readBody(entry_call_ptr call, open_reply &reply, std::string &body);

    /// \brief Relays an answer of which \p start was read, and finishes \p reply.
    awaitable<void> relayRest(entry_call_ptr call, open_reply &reply, std::string start,
                              response_writer &writer);

    /// \brief Relays a stream up to its last piece, and finishes \p reply. The end itself is left
    /// to the caller, who may have to wait before the client may learn of it.
    awaitable<stream_end> relayStream(entry_call_ptr call, open_reply &reply,
                                      response_writer &writer);

    /// \brief Relays a replica's answer that is no stream although one was asked for.
    awaitable<void> relayFailure(entry_call_ptr call, open_reply reply, response_writer &writer);

private:
    void notePace(const entry_call &call, std::int64_t events, time_point firstAt);

    upstream_sender &m_sender;
    replica_board &m_board;
    engine_places &m_places;
    own_answers &m_answers;
    entry_metrics &m_metrics;
};

} // namespace azurehill
