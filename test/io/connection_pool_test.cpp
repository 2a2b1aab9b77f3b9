#include "http/connection_pool.h"
#include "io/loopback.h"

#include <doctest/doctest.h>

using namespace azurehill;
using namespace azurehill::test;

// Guards against idle connections to many replicas that use up the descriptors of the process.
TEST_CASE("idle connections to all peers together are limited")
{
    asio::io_context context;
    http_server server(context.get_executor(), {},
                       [](const http_request &, response_writer &w) -> awaitable<void> {
                           http_response response = jsonResponse(200, "{}");
                           co_await w.write(std::move(response));
                       });
    const std::uint16_t port = server.listen({"127.0.0.1", 0});
    connection_pool pool(context.get_executor(), seconds(60), 8);
    pool.setMaxIdle(2);
    const time_point now = runtime_clock::now();
    auto body = [&]() -> awaitable<void> {
        for (int i = 0; i < 4; ++i) {
            // Loopback addresses of different peers.
            endpoint peer{"127.0.0.1", port};
            const time_point until = now + seconds(20);
            http_connection connection(context.get_executor());
            co_await connection.connect(peer, until);
            peer.host = "127.0.0." + std::to_string(i + 1);
            pool.give(peer, std::move(connection), now + seconds(i));
        }
    };
    runIn(context, body());
    CHECK(pool.idle() == 2);
    const time_point later = now + seconds(4);
    CHECK_FALSE(pool.hasIdle({"127.0.0.1", port}, later, seconds(60)));
    CHECK_FALSE(pool.hasIdle({"127.0.0.2", port}, later, seconds(60)));
    CHECK(pool.hasIdle({"127.0.0.3", port}, later, seconds(60)));
    CHECK(pool.hasIdle({"127.0.0.4", port}, later, seconds(60)));
}
