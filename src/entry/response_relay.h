#pragma once

#include "entry/engine_admission.h"
#include "entry/local_reply_writer.h"
#include "entry/upstream_sender.h"
#include "http/sse.h"

#include <string>

namespace azurehill {

/// \brief How the relay of a stream ended.
struct stream_result
{
    bool isWhole = false;
    /// The client still takes bytes.
    bool isOpen = true;
    /// Data of the events, each followed by a line feed.
    std::string output;
    std::int64_t events = 0;
};

/// \brief Relays replicas' answers to clients. Used on the traffic thread.
class response_relay
{
public:
    /// Answers up to this size are read whole before their first byte goes out, so that one that
    /// breaks off can be asked of another replica.
    static constexpr std::size_t maxBufferedBytes = 256U << 10U;

    response_relay(upstream_sender &sender, replica_load_balancer &board, engine_admission &places,
                   local_reply_writer &answers, entry_metrics &metrics);

    /// \brief Reads the answer of \p reply into \p body, up to a little more than maxBufferedBytes.
    /// \returns whether it did not break off.
    awaitable<bool> readBody(entry_call_ptr call, open_reply &reply, std::string &body);

    /// \brief Relays an answer of which \p start was read, and finishes \p reply.
    awaitable<void> relayRemainder(entry_call_ptr call, open_reply &reply, std::string start,
                                   response_writer &writer);

    /// \brief Relays a stream up to its last piece, and finishes \p reply. The end itself is left
    /// to the caller, who may have to wait before the client may learn of it.
    awaitable<stream_result> relayStream(entry_call_ptr call, open_reply &reply,
                                         response_writer &writer);
    /// \brief Relays more of a stream whose beginning went out: the answer of another send that
    /// goes on after the call's last event.
    ///
    /// \param stream what was relayed so far; what comes is added to it.
    awaitable<void> relayContinuation(entry_call_ptr call, open_reply &reply, stream_result &stream,
                                      response_writer &writer);

    /// \brief Relays a replica's answer that is no stream although one was asked for.
    awaitable<void> relayNonStream(entry_call_ptr call, open_reply reply, response_writer &writer);

private:
    /// \returns the bytes of \p piece that go out now, and adds its events to \p stream. Of a
    /// stream that may be resumed these are whole events only, so that what follows can begin anew.
    static std::string parseChunk(entry_call &call, sse_reader &events, const std::string &piece,
                                  stream_result &stream);
    void recordEventInterval(const entry_call &call, std::int64_t events, time_point firstAt);

    upstream_sender &m_sender;
    replica_load_balancer &m_board;
    engine_admission &m_places;
    local_reply_writer &m_answers;
    entry_metrics &m_metrics;
};

} // namespace azurehill
