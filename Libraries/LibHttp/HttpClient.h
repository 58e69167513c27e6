// Sends HTTP/1.1 requests over kept connections.
#pragma once

#include <LibHttp/Asio.h>
#include <LibHttp/BodyBudget.h>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>

namespace Goldcrestwall::Gateway {

// How far an exchange came.
enum class ExchangeOutcome {
    // A whole answer arrived.
    Answered,
    // No byte of the request was sent.
    NotSent,
    // The request may have arrived, and no whole answer came back.
    Lost,
    // What came back is no answer in the protocol, or has no end within the bounds of one.
    Malformed,
    // The answer's body would take more memory than is left for bodies.
    NoRoom,
    // It was cut off by this side.
    Cancelled,
};

const char *exchangeOutcomeName(ExchangeOutcome outcome);

struct ExchangeResult
{
    ExchangeOutcome outcome_ = ExchangeOutcome::NotSent;
    // Only after Answered.
    HttpResponse response_;
    bool isNewConnection_ = false;
    // Time ran out while bytes came that announced no end: neither a whole head nor the length of a body.
    bool isUnbounded_ = false;
};

// Lets the owner of an exchange cut it off while it runs.
class ExchangeHandle
{
public:
    // Closes the connection of the exchange, if there is one, and keeps any later step from starting.
    void cancel();
    bool isCancelled() const
    {
        return isCancelled_;
    }
    // Whether any byte of the request may have left.
    bool isSent() const
    {
        return isSent_;
    }

private:
    friend class HttpClient;

    bool isCancelled_ = false;
    bool isSent_ = false;
    std::shared_ptr<beast::tcp_stream> stream_;
};

// How an exchange is made.
struct ExchangeOptions
{
    Duration connectTimeout_ = 300ms;
    // Bound on the whole exchange.
    Duration timeout_ = 1s;
    // A kept connection is used only if it was idle for less than this.
    Duration maxIdle_ = 4s;
    // An answer that names another request is skipped: the name of the header that identifies it, and this request's value.
    std::string correlationHeader_;
    std::string correlationId_;
    // A longer body is no answer.
    std::uint64_t maxResponseBody_ = 64U << 10U;
    // Counts the memory of the answer's body; not counted without it. Outlives the exchange.
    BodyReservation *bodyReservation_ = nullptr;
};

// Keeps connections by address. Connections that a server closed or that carry bytes nobody asked for are dropped.
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &loop)
        : loop_(loop)
    {
    }

    // Makes one exchange. Never throws; `handle` may cancel it meanwhile.
    Task<ExchangeResult> exchange(const std::string &address, const HttpRequest &request, ExchangeOptions options, std::shared_ptr<ExchangeHandle> handle);

    // Closes connections that were idle for too long.
    void closeIdle(TimePoint now);

    std::uint64_t connectionCount() const
    {
        return connectionCount_;
    }

private:
    using ResponseParser = http::response_parser<http::string_body>;

    struct IdleConnection
    {
        std::shared_ptr<beast::tcp_stream> stream_;
        TimePoint since_;
        Duration keepAlive_ = Duration::zero();
    };

    std::shared_ptr<beast::tcp_stream> takeIdle(const std::string &address, Duration maxIdle, TimePoint now);
    void storeIdle(const std::string &address, std::shared_ptr<beast::tcp_stream> stream, const HttpResponse &response, TimePoint now);
    Task<std::shared_ptr<beast::tcp_stream>> connect(const std::string &address, Duration timeout, std::shared_ptr<ExchangeHandle> handle);
    static Task<ErrorCode> readMessage(beast::tcp_stream &stream, beast::flat_buffer &buffer, ResponseParser &parser, BodyReservation *reservation);
    // Reads until the answer to this request. Sets the outcome and what was read; returns whether the connection may be used again.
    static Task<bool> readResponse(beast::tcp_stream &stream, const HttpRequest &request, const ExchangeOptions &options, ExchangeResult &result);

    asio::io_context &loop_;
    std::map<std::string, std::deque<IdleConnection>> idle_;
    std::uint64_t connectionCount_ = 0;
};

} // namespace Goldcrestwall::Gateway
