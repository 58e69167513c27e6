// Serves readiness checks of the platform and metrics.
#pragma once

#include <LibHttp/LibHttp.h>

#include <functional>

namespace Goldcrestwall::Gateway {

// A small HTTP server with one handler for all requests.
class StatusServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    StatusServer(asio::io_context &loop, Handler handler);

    // Errors: the address cannot be bound.
    std::error_code listen(const std::string &address);

private:
    Task<void> serve(Tcp::socket socket);

    asio::io_context &loop_;
    Handler handler_;
    Listener listener_;
};

} // namespace Goldcrestwall::Gateway
