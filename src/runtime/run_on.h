#pragma once

#include "runtime/asio.h"

#include <type_traits>
#include <utility>

namespace azurehill {

/// \brief Runs \p task on \p executor and returns an awaitable of its result.
///
/// Traffic threads access the control state only through this function, so that state needs no
/// locks.
///
/// \param task a function or coroutine without parameters. The lvalue reference excludes
/// temporaries: g++ 12 destroys a lambda twice if it is a temporary in a co_await expression, which
/// fails with "free(): invalid pointer".
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
