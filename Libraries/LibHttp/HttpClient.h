// HTTP/1.1 client with persistent connections.
#pragma once

#include <LibHttp/Asio.h>
#include <LibHttp/InputBuffer.h>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Goldcrestwall::Gateway {

// Result of an exchange.
enum class ExchangeOutcome {
    // A complete response was received.
    Answered,
    // No byte of the request was sent.
    NotSent,
    // The request may have been received, but no complete response arrived.
    Lost,
    // The response violates the protocol or exceeds the size limits.
    Malformed,
    // The response would exceed the memory of the process.
    NoRoom,
    // The exchange was cancelled by this side.
    Cancelled,
};

const char *exchangeOutcomeName(ExchangeOutcome outcome);

struct ExchangeResult
{
    ExchangeOutcome outcome_ = ExchangeOutcome::NotSent;
    // Valid only if the outcome is Answered.
    HttpResponse response_;
    bool isNewConnection_ = false;
    // Number of the connection, counted by the client from 1; 0 if there was none.
    std::uint64_t connection_ = 0;
    // How many exchanges the connection has had, with this one.
    std::uint32_t exchangesOnConnection_ = 0;
    // Whether the response had the correlation header.
    bool isCorrelated_ = false;
    // The exchange timed out during a response of unknown length: an incomplete header, or a body without Content-Length.
    bool isUnbounded_ = false;
};

// Allows the owner of an exchange to cancel it.
class ExchangeHandle
{
public:
    // Resets the connection of the exchange, if there is one, and prevents any later step.
    void cancel();
    bool isCancelled() const
    {
        return isCancelled_;
    }
    // Whether any byte of the request may have been sent.
    bool isSent() const
    {
        return isSent_;
    }
    // When the connection was made, or last brought a complete response before this exchange. Valid once the request may have been sent.
    TimePoint connectionProvedAt() const
    {
        return connectionProvedAt_;
    }

private:
    friend class HttpClient;

    bool isCancelled_ = false;
    bool isSent_ = false;
    TimePoint connectionProvedAt_;
    std::shared_ptr<beast::tcp_stream> stream_;
};

// Timeouts and limits of an exchange.
struct ExchangeOptions
{
    Duration connectTimeout_ = 300ms;
    // Time limit for the whole exchange, including the connection.
    Duration timeout_ = 1s;
    // An idle connection is reused only if it has been idle for less than this.
    Duration maxIdle_ = 4s;
    // Name of the header that correlates responses with requests, and the value of this request. Responses with another value are
    // skipped. After a response without the header the connection is closed: a copy of it would be taken for the response to the next request.
    // An idle connection on which a request with this value has had another response than a success is not reused: the value names
    // the request and not the send, so that it could not tell a copy of that response from the one to this send.
    std::string correlationHeader_;
    std::string correlationId_;
    // A response with a longer body is Malformed.
    std::uint64_t maxResponseBody_ = 64U << 10U;
    // Asked immediately before the request is written; if it returns false, the request is not sent. Null if it may always be sent.
    std::function<bool()> maySend_;
    // Reservation for the memory of the response body; its account also has the bytes that are not parsed. Nothing is counted if null. Must
    // outlive the exchange.
    MemoryReservation *bodyReservation_ = nullptr;
};

// Keeps idle connections by address. Connections that the server has closed or that received unexpected bytes are discarded.
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &loop)
        : loop_(loop)
    {
    }

    // Sends a request and reads its response. Never throws; `handle` can cancel the exchange.
    Task<ExchangeResult> exchange(const std::string &address, const HttpRequest &request, ExchangeOptions options, std::shared_ptr<ExchangeHandle> handle);

    // Closes connections whose keep-alive time has passed.
    void closeIdle(TimePoint now);
    // Closes the idle connections to an address that have brought no response since that time.
    void closeIdleSince(const std::string &address, TimePoint time);

    std::uint64_t connectionCount() const
    {
        return connectionCount_;
    }

private:
    using ResponseParser = http::response_parser<http::string_body>;

    struct Connection
    {
        // Null if there is no connection.
        std::shared_ptr<beast::tcp_stream> stream_;
        std::uint64_t number_ = 0;
        std::uint32_t exchanges_ = 0;
        // When it was made or last became idle, and for how long it may be.
        TimePoint idleSince_;
        Duration keepAlive_ = Duration::zero();
        // Hashes of the correlation ids of the requests that had another response than a success. Ids may be long; two with the same hash cost
        // a connection.
        std::vector<std::size_t> unsuccessfulIds_;

        // Whether a request with these options may be sent on it, if it is open.
        bool mayCarry(const ExchangeOptions &options) const;
        // Records the response to a request that was sent with these options. Returns whether the connection may be kept.
        bool record(const ExchangeOptions &options, const ExchangeResult &result, TimePoint now);
    };

    // Returns the idle connection to be used next, or nothing if there is none that is suitable and open.
    std::optional<Connection> takeIdle(const std::string &address, const ExchangeOptions &options, TimePoint now);
    void storeIdle(const std::string &address, Connection connection);
    Task<Connection> connect(const std::string &address, Duration timeout, std::shared_ptr<ExchangeHandle> handle);
    // Reads a response. `writeError` is the error with which the write of the request has ended, if it has failed.
    static Task<ErrorCode>
    readMessage(beast::tcp_stream &stream, InputBuffer &buffer, ResponseParser &parser, MemoryReservation *reservation, ErrorCode writeError);
    // Reads responses up to the one to this request. Sets the outcome and the response; returns whether the connection is reusable.
    static Task<bool>
    readResponse(beast::tcp_stream &stream, const HttpRequest &request, const ExchangeOptions &options, ErrorCode writeError, ExchangeResult &result);

    asio::io_context &loop_;
    std::map<std::string, std::deque<Connection>> idle_;
    std::uint64_t connectionCount_ = 0;
};

} // namespace Goldcrestwall::Gateway
