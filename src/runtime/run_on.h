#pragma once

#include "runtime/asio.h"

#include <type_traits>
#include <utility>

namespace azurehill {

/// \brief Runs \p task on \p executor and comes back with its result.
///
/// Traffic threads reach the control state only through this, so that state needs no locks.
/// \param task a function without arguments, plain or a coroutine. It is taken by reference to a
/// named object on purpose: g++ 12 destroys a lambda twice that is a temporary of a co_await
/// expression, which shows as "free(): invalid pointer".
template <class Function>
auto runOn(asio::any_io_executor executor, Function &task)
{
    using result = std::invoke_result_t<Function &>;
    if constexpr (requires { typename result::executor_type; }) {
        return asio::co_spawn(executor, task, use_awaitable);
    } else {
        auto body = [](Function f) -> awaitable<result> { co_return f(); };
        return asio::co_spawn(executor, body(task), use_awaitable);
    }
}

} // namespace azurehill
