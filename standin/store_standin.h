#pragma once

#include "http/http_server.h"
#include "standin/row_store.h"

#include <functional>

namespace azurehill {

/// \brief How the stand-in treats one call.
enum class store_trouble {
    None,
    /// 429, nothing done.
    TooMany,
    /// 503, nothing done.
    Unavailable,
    /// No answer and nothing done.
    Silent,
    /// Done, and the connection ends without an answer.
    AnswerLost,
    /// The connection ends without an answer, and the write is done later by settleLate().
    Late,
};

/// \brief Plays the platform's store by its published protocol, on rows in memory.
class store_standin
{
public:
    store_standin(const asio::any_io_executor &executor, row_store &rows);

    /// \returns the port, or 0.
    std::uint16_t listen();
    /// What happens to the next call; it is given the call's path.
    std::function<store_trouble(std::string_view)> nextTrouble
        = [](std::string_view) { return store_trouble::None; };
    /// \brief Does the writes that were held up, as far as their conditions still hold.
    void settleLate();
    /// \returns the number of calls so far.
    int calls() const { return m_calls; }

private:
    awaitable<void> answer(const http_request &request, response_writer &writer);
    /// \brief Waits as long as the call wants to, if there is no change to tell.
    awaitable<void> holdFeed(const http_request &request) const;
    http_response transact(const http_request &request, store_trouble trouble);
    http_response read(const http_request &request) const;
    http_response changes(const http_request &request) const;
    http_response partitions(const http_request &request) const;

    row_store &m_rows;
    http_server m_server;
    std::vector<store_transaction> m_late;
    int m_calls = 0;
};

} // namespace azurehill
