#include "runtime/spawn.h"

#include "core/log.h"

#include <cstdlib>
#include <exception>
#include <string>

namespace azurehill {

namespace {

[[noreturn]] void abortOnException(const std::string &name, std::exception_ptr error)
{
    std::string detail = "not a std::exception";
    try {
        std::rethrow_exception(std::move(error));
    } catch (const std::exception &e) {
        detail = e.what();
    } catch (...) { }
    logEvent(log_level::Error, "coroutine_failed", {{"name", name}, {"detail", detail}});
    std::abort();
}

} // namespace

void spawn(const asio::any_io_executor &executor, std::string_view name, awaitable<void> body)
{
    asio::co_spawn(executor, std::move(body), [name = std::string(name)](std::exception_ptr error) {
        if (error)
            abortOnException(name, std::move(error));
    });
}

} // namespace azurehill
