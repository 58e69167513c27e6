// A scripted server on loopback, and exchanges of HttpClient with it.
#pragma once

#include <LibHttp/LibHttp.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// Behaviour of a scripted server on one connection.
struct Script
{
    // One response for each request of the connection.
    std::vector<std::string> responses_;
    bool isClosed_ = true;
    bool isReset_ = false;
    // Sent repeatedly after the last response until the connection is closed.
    std::optional<std::string> unbounded_ = std::nullopt;
};

// Accepts connections and runs the next script on each.
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &loop, std::vector<Script> scripts)
        : acceptor_(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))
        , scripts_(std::move(scripts))
    {
        asio::co_spawn(loop, serve(loop), asio::detached);
    }

    std::string address() const
    {
        return address_;
    }
    std::size_t requestCount() const
    {
        return requests_;
    }
    std::size_t connectionCount() const
    {
        return connections_;
    }

private:
    Task<void> serve(asio::io_context &loop)
    {
        for (const auto &script : scripts_) {
            ErrorCode error;
            auto socket = co_await acceptor_.async_accept(redirectErrorTo(error));
            if (error) {
                co_return;
            }
            ++connections_;
            asio::co_spawn(loop, run(std::move(socket), script), asio::detached);
        }
        acceptor_.close();
    }

    Task<void> run(Tcp::socket socket, const Script &script)
    {
        ErrorCode error;
        beast::flat_buffer buffer;
        for (const auto &answer : script.responses_) {
            HttpRequest request;
            co_await http::async_read(socket, buffer, request, redirectErrorTo(error));
            if (error) {
                break;
            }
            ++requests_;
            co_await asio::async_write(socket, asio::buffer(answer), redirectErrorTo(error));
        }
        while (script.unbounded_ && !error) {
            co_await asio::async_write(socket, asio::buffer(*script.unbounded_), redirectErrorTo(error));
        }
        if (script.isReset_) {
            socket.set_option(asio::socket_base::linger(true, 0), error);
        }
        if (script.isClosed_ || script.isReset_) {
            socket.close(error);
        } else {
            open_.push_back(std::move(socket));
        }
    }

    Tcp::acceptor acceptor_;
    std::string address_;
    std::vector<Script> scripts_;
    std::vector<Tcp::socket> open_;
    std::size_t requests_ = 0;
    std::size_t connections_ = 0;
};

inline HttpRequest makeRequest()
{
    HttpRequest request(http::verb::get, "/x", 11);
    request.set(http::field::host, "h");
    request.set("Id", "1");
    return request;
}

inline ExchangeOptions makeOptions(Duration timeout = 300ms)
{
    ExchangeOptions options;
    options.timeout_ = timeout;
    options.correlationHeader_ = "Id";
    options.correlationId_ = "1";
    return options;
}

inline std::string makeResponse(const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body;
}

// Makes one exchange with each of the options.
inline std::vector<ExchangeResult>
runExchanges(std::vector<Script> scripts, const std::vector<ExchangeOptions> &exchanges, const HttpRequest &request = makeRequest())
{
    asio::io_context loop;
    ScriptedServer server(loop, std::move(scripts));
    HttpClient client(loop);
    std::vector<ExchangeResult> results;
    asio::co_spawn(
        loop,
        [&]() -> Task<void> {
            for (const auto &options : exchanges) {
                results.push_back(co_await client.exchange(server.address(), request, options, std::make_shared<ExchangeHandle>()));
                co_await sleepFor(loop, 20ms);
            }
            loop.stop();
        },
        asio::detached);
    loop.run();
    return results;
}

// Makes `count` exchanges in sequence with a server that runs the scripts.
inline std::vector<ExchangeResult>
runExchanges(std::vector<Script> scripts, int count, const ExchangeOptions &options = makeOptions(), const HttpRequest &request = makeRequest())
{
    return runExchanges(std::move(scripts), std::vector<ExchangeOptions>(static_cast<std::size_t>(count), options), request);
}

} // namespace Goldcrestwall::Gateway
