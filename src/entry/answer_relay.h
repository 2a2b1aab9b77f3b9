#pragma once

#include "entry/engine_places.h"
#include "entry/own_answers.h"
#include "entry/upstream_sender.h"
#include "http/sse.h"

#include <string>

namespace azurehill {

/// \brief How the relay of a stream ended.
struct stream_end
{
    bool isWhole = false;
    /// The client still takes bytes.
    bool isOpen = true;
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

    answer_relay(upstream_sender &sender, replica_load_balancer &board, engine_places &places,
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
    /// \brief Relays more of a stream whose beginning went out: the answer of another send that
    /// goes on after the call's last event.
    ///
    /// \param stream what was relayed so far; what comes is added to it.
    awaitable<void> relayMore(entry_call_ptr call, open_reply &reply, stream_end &stream,
                              response_writer &writer);

    /// \brief Relays a replica's answer that is no stream although one was asked for.
    awaitable<void> relayFailure(entry_call_ptr call, open_reply reply, response_writer &writer);

private:
    /// \returns the bytes of \p piece that go out now, and adds its events to \p stream. Of a
    /// stream that may be resumed these are whole events only, so that what follows can begin anew.
    static std::string takePiece(entry_call &call, sse_reader &events, const std::string &piece,
                                 stream_end &stream);
    void notePace(const entry_call &call, std::int64_t events, time_point firstAt);

    upstream_sender &m_sender;
    replica_load_balancer &m_board;
    engine_places &m_places;
    own_answers &m_answers;
    entry_metrics &m_metrics;
};

} // namespace azurehill
