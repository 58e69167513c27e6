// One connection of a caller.
#pragma once

#include <LibGateway/FrontServer.h>

#include <deque>

namespace Goldcrestwall::Gateway {

// Reads requests and writes their answers in the order of the requests.
//
// A caller may send further requests before the first is answered. Those that may run more than once are handled side by side; any
// other waits until all before it are answered, so that a connection that ends never leaves it in doubt. What stands behind an answer
// that ends the connection was never begun. The reader goes on while requests are in progress, so that it notices a caller who leaves.
class FrontSession : public std::enable_shared_from_this<FrontSession>
{
public:
    FrontSession(FrontServer &server, Tcp::socket socket);

    void start();
    // Closes the connection if no request is in progress or being read.
    void closeIfIdle();

private:
    using Parser = http::request_parser<http::string_body>;

    // One request from its reading to the writing of its answer.
    struct Exchange
    {
        explicit Exchange(BodyBudget &bodies)
            : requestShare_(bodies)
            , control_(std::make_shared<RequestControl>(bodies))
        {
        }

        HttpRequest request_;
        BodyReservation requestShare_;
        std::shared_ptr<RequestControl> control_;
        TimePoint arrivedAt_;
        // Whether the caller lets the connection be used again.
        bool isKeepAlive_ = false;
        bool isStarted_ = false;
        bool isDone_ = false;
        // Nothing for a caller who has left.
        std::optional<HttpResponse> response_;
    };

    Task<void> serve();
    Task<void> handleConnection();
    Task<void> readRequests();
    // Notices that the caller leaves after its last request; what it sends is ignored.
    Task<void> awaitDisconnect();
    // Reads one request; returns whether there is one. What cannot be read gets an answer that ends the connection.
    Task<bool> readRequest(Exchange &exchange);
    // Waits for the first bytes of a request.
    Task<ErrorCode> awaitRequest();
    // Reads the rest after the header, as far as memory is left for it.
    Task<ErrorCode> readBody(Parser &parser, BodyReservation &share);
    Task<ErrorCode> sendContinue(const HttpRequest &request);
    void answerReadError(ErrorCode error);

    void add(std::shared_ptr<Exchange> exchange);
    // Begins all requests that may be in progress beside those before them.
    void startExchanges();
    Task<void> run(std::shared_ptr<Exchange> exchange);
    // Writes all answers whose turn it is.
    Task<void> writeResponses();
    Task<void> writeResponse(Exchange &exchange);
    Task<bool> write(HttpResponse response, bool isKeepAlive);
    // The caller has left: ends what is in progress as far as it may be ended.
    void cancelRequests();
    void dropUnstarted();
    Task<void> discardInput();
    // Waits until an answer was written or the connection is to end.
    Task<void> awaitChange();
    void notifyChange();
    void startIdleTimer(Duration wait);

    FrontServer &server_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    asio::steady_timer change_;
    asio::steady_timer idleTimer_;
    RequestLimits limits_;
    // In the order in which they were read.
    std::deque<std::shared_ptr<Exchange>> exchanges_;
    // When the bytes came that are not parsed yet.
    TimePoint receivedAt_;
    TimePoint idleSince_;
    // Whether no request is being read.
    bool isBetweenRequests_ = true;
    bool isWriting_ = false;
    // An answer has ended the connection.
    bool isEnded_ = false;
    bool isCallerDisconnected_ = false;
};

} // namespace Goldcrestwall::Gateway
