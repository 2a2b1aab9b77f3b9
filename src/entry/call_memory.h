#pragma once

#include <array>
#include <cstddef>
#include <functional>

namespace azurehill {

/// \brief What a call makes the process hold beside its request.
enum class held_part {
    /// The request to the replica, if it differs from the client's.
    Prompt,
    /// The head of the answer, and bytes of the answer that are not parsed yet.
    Head,
    /// What was read of the body and may not be passed on yet, or is kept.
    Body
};

/// \brief Accounts for the memory of one call, part by part, in the account of its connection.
class call_memory
{
public:
    /// \brief Sets the account: a function that takes the size of all parts together and returns
    /// whether the process may hold them. Without it everything is granted.
    void setAccount(std::function<bool(std::size_t bytes)> tryHold)
    {
        m_tryHold = std::move(tryHold);
    }
    /// \brief Changes the size of \p part to \p bytes.
    /// \returns whether the process may hold them; if not, the size is as before.
    bool tryHold(held_part part, std::size_t bytes);

private:
    std::function<bool(std::size_t bytes)> m_tryHold;
    std::array<std::size_t, 3> m_parts{};
    /// Size that was last accounted for.
    std::size_t m_accounted = 0;
};

} // namespace azurehill
