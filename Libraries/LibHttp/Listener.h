// Accepts connections at one address.
#pragma once

#include <LibHttp/Asio.h>

#include <functional>

namespace Goldcrestwall::Gateway {

// Hands each accepted connection to a function.
class Listener
{
public:
    using Handler = std::function<void(Tcp::socket)>;

    Listener(asio::io_context &loop, Handler handler);

    // Errors: InvalidSetting when the address cannot be used.
    std::error_code listen(const std::string &address);
    void close();

private:
    Task<void> accept();

    asio::io_context &loop_;
    Handler handler_;
    Tcp::acceptor acceptor_;
};

} // namespace Goldcrestwall::Gateway
