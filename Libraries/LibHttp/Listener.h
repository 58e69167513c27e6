// Accepts TCP connections on one address.
#pragma once

#include <LibHttp/Asio.h>

#include <functional>

namespace Goldcrestwall::Gateway {

// Passes each accepted connection to a handler.
class Listener
{
public:
    using Handler = std::function<void(Tcp::socket)>;

    Listener(asio::io_context &loop, Handler handler);

    // Starts to accept connections. Errors: InvalidSetting if the address is malformed or cannot be bound.
    std::error_code listen(const std::string &address);
    void close();

private:
    Task<void> accept();

    asio::io_context &loop_;
    Handler handler_;
    Tcp::acceptor acceptor_;
};

} // namespace Goldcrestwall::Gateway
