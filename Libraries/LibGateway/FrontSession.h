// One connection from a caller.
#pragma once

#include <LibGateway/FrontServer.h>

#include <deque>

namespace Goldcrestwall::Gateway {

// Reads requests and writes their responses in request order.
//
// Callers may pipeline requests. Idempotent requests run concurrently; any other request starts only after all responses before it have
// been written, so that a closed connection never leaves its outcome unknown. Requests after a response that closes the connection are
// never started. Reading continues while requests are in progress, so that a disconnect is noticed.
class FrontSession : public std::enable_shared_from_this<FrontSession>
{
public:
    // `reservation` is for the fixed cost of the connection.
    FrontSession(FrontServer &server, Tcp::socket socket, MemoryReservation reservation);

    void start();
    // Closes the connection unless a request is in progress or being read.
    void closeIfIdle();

private:
    using Parser = http::request_parser<http::string_body>;

    // The longest time for writing one response.
    static constexpr Duration WriteTimeout = 10s;

    // A request, from reading it to writing its response.
    struct Exchange
    {
        explicit Exchange(MemoryAccount &memory)
            : requestReservation_(memory, MemoryHolder::Requests)
            , control_(std::make_shared<RequestControl>(memory))
        {
        }

        HttpRequest request_;
        MemoryReservation requestReservation_;
        std::shared_ptr<RequestControl> control_;
        TimePoint arrivedAt_;
        // Whether the caller allows the connection to be reused.
        bool isKeepAlive_ = false;
        bool isStarted_ = false;
        bool isDone_ = false;
        // Empty if the caller has disconnected.
        std::optional<HttpResponse> response_;
    };

    static HttpResponse makeErrorResponse(unsigned status);
    // The operator's limits at present; the program's own until a configuration is known.
    RequestLimits limitsInForce() const;
    Task<void> serve();
    Task<void> handleConnection();
    Task<void> readRequests();
    // Waits until the caller disconnects after its last request; further input is discarded.
    Task<void> awaitDisconnect();
    // Reads one request; returns whether there is one. Invalid input gets an error response that closes the connection.
    Task<bool> readRequest(Exchange &exchange);
    // Waits for the first bytes of a request. Errors: operation_aborted when the connection is to be closed as idle.
    Task<ErrorCode> awaitRequest();
    // Reads the header and reserves memory for it and for a body of known length. Errors: no_memory when there is none.
    Task<ErrorCode> readHeader(Parser &parser, MemoryReservation &reservation);
    // Reads the body after the header. Errors: no_memory when there is no memory for it.
    Task<ErrorCode> readBody(Parser &parser, MemoryReservation &reservation);
    // The size up to which unparsed input may grow, in bytes.
    std::size_t maxInputBytes() const;
    // Sets the time limit for the next part of the request being read. When it has passed, the request is rejected with 408 after the
    // responses to those before it.
    void startReadTimer(Duration limit);
    void stopReadTimer();
    Task<ErrorCode> sendContinue(const HttpRequest &request);
    void answerReadError(ErrorCode error);

    void add(std::shared_ptr<Exchange> exchange);
    // Starts all requests that may run concurrently with those before them.
    void startExchanges();
    Task<void> run(std::shared_ptr<Exchange> exchange);
    // Writes all responses that are next in order.
    Task<void> writeResponses();
    Task<void> writeResponse(Exchange &exchange);
    Task<bool> write(HttpResponse response, bool isKeepAlive);
    // Called when the caller has disconnected: cancels the requests in progress that may be cancelled.
    void cancelRequests();
    void dropUnstarted();
    Task<void> discardInput();
    // Waits until a response has been written or the connection is to be closed.
    Task<void> awaitChange();
    void notifyChange();
    void startIdleTimer(Duration wait);

    FrontServer &server_;
    beast::tcp_stream stream_;
    MemoryReservation connectionReservation_;
    InputBuffer buffer_;
    asio::steady_timer change_;
    asio::steady_timer idleTimer_;
    // Limits the time for reading a request. The stream's own time-out would close the connection under the requests in progress.
    asio::steady_timer readTimer_;
    // Those in force when the request being read began to arrive.
    RequestLimits limits_;
    // Whether a configuration was known then.
    bool hasOperatorLimits_ = false;
    // In the order in which the requests were read.
    std::deque<std::shared_ptr<Exchange>> exchanges_;
    // When the bytes that are not parsed yet were received.
    TimePoint receivedAt_;
    TimePoint idleSince_;
    // Whether no request is being read.
    bool isBetweenRequests_ = true;
    // A request took too long to arrive; nothing after it is read.
    bool hasReadTimedOut_ = false;
    // The connection is to be closed unless a request has arrived.
    bool isEndingIdle_ = false;
    bool isWriting_ = false;
    // A response has closed the connection.
    bool isEnded_ = false;
    bool isCallerDisconnected_ = false;
};

} // namespace Goldcrestwall::Gateway
