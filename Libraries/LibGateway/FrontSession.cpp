// The requests of a caller's connection: pipelining, responses and closing.
#include "FrontSession.h"

#include "Tasks.h"

namespace Goldcrestwall::Gateway {

namespace {

// Requests of one connection that are read before the first of them has its response.
constexpr std::size_t MaxPipelined = 32;
constexpr unsigned UnknownOutcomeStatus = 502;

} // namespace

FrontSession::FrontSession(FrontServer &server, Tcp::socket socket, MemoryReservation reservation)
    : server_(server)
    , stream_(std::move(socket))
    , connectionReservation_(std::move(reservation))
    , buffer_(server.memory_, MemoryHolder::CallerInput)
    , change_(server.loop_)
    , idleTimer_(server.loop_)
    , readTimer_(server.loop_)
    , idleSince_(bootNow())
{
    configureSocket(stream_.socket());
}

void FrontSession::start()
{
    startIdleTimer(limitsInForce().idleTimeout_);
    spawn(server_.loop_, server_.log_, "caller", [self = shared_from_this()] {
        return self->serve();
    });
}

void FrontSession::closeIfIdle()
{
    if (isBetweenRequests_ && exchanges_.empty()) {
        // A read may have completed without its handler having run, so the reading coroutine decides whether the connection is idle.
        isEndingIdle_ = true;
        stream_.cancel();
    }
}

void FrontSession::startIdleTimer(Duration wait)
{
    idleTimer_.expires_after(std::chrono::microseconds(wait));
    idleTimer_.async_wait([self = shared_from_this()](ErrorCode error) {
        if (error) {
            return;
        }
        const Duration idle = bootNow() - self->idleSince_;
        const Duration limit = self->limitsInForce().idleTimeout_;
        if (!self->exchanges_.empty() || !self->isBetweenRequests_) {
            self->startIdleTimer(limit);
        } else if (idle < limit) {
            self->startIdleTimer(limit - idle);
        } else {
            // A request may have arrived, so that the connection stays.
            self->startIdleTimer(limit);
            self->closeIfIdle();
        }
    });
}

Task<void> FrontSession::awaitChange()
{
    change_.expires_at(asio::steady_timer::time_point::max());
    ErrorCode error;
    co_await change_.async_wait(redirectErrorTo(error));
}

void FrontSession::notifyChange()
{
    change_.cancel();
}

Task<void> FrontSession::serve()
{
    try {
        co_await handleConnection();
    } catch (...) {
        logUnexpected(server_.log_, "caller", std::current_exception());
        cancelRequests();
    }
    idleTimer_.cancel();
    readTimer_.cancel();
    ErrorCode error;
    stream_.socket().close(error);
    server_.sessions_.erase(shared_from_this());
}

Task<void> FrontSession::handleConnection()
{
    // 1. Read requests until the caller or a response closes the connection.
    // 2. Wait for the responses of the requests in progress.
    // 3. Discard further input for a limited time, so that the last response is not lost to a connection reset.
    co_await readRequests();
    while (!exchanges_.empty()) {
        co_await awaitChange();
    }
    if (isEnded_ && !isCallerDisconnected_) {
        buffer_.clear();
        co_await discardInput();
    }
}

Task<void> FrontSession::readRequests()
{
    while (!isEnded_ && !isCallerDisconnected_) {
        if (exchanges_.size() >= MaxPipelined) {
            co_await awaitChange();
            continue;
        }
        auto exchange = std::make_shared<Exchange>(server_.memory_);
        if (!co_await readRequest(*exchange)) {
            co_await awaitDisconnect();
            co_return;
        }
        const bool isLast = !exchange->isKeepAlive_;
        add(std::move(exchange));
        if (isLast) {
            co_await awaitDisconnect();
        }
    }
}

void FrontSession::add(std::shared_ptr<Exchange> exchange)
{
    ++server_.requestsInProgress_;
    exchanges_.push_back(std::move(exchange));
    startExchanges();
}

void FrontSession::startExchanges()
{
    for (std::size_t index = 0; index < exchanges_.size(); ++index) {
        const auto &exchange = exchanges_[index];
        if (exchange->isStarted_) {
            continue;
        }
        // During a stop, the response before it closes the connection.
        const bool mayStart = index == 0 || (!server_.isStopping() && server_.flow_.mayRunAgain(exchange->request_));
        if (!mayStart) {
            return;
        }
        exchange->isStarted_ = true;
        exchange->control_->setConnectionCheck([weak = weak_from_this()] {
            const auto self = weak.lock();
            return !self || peekReadable(self->stream_.socket()) == ReadableState::Ended;
        });
        spawn(server_.loop_, server_.log_, "request", [self = shared_from_this(), exchange] {
            return self->run(exchange);
        });
    }
}

HttpResponse FrontSession::makeErrorResponse(unsigned status)
{
    HttpResponse response;
    response.version(11);
    response.result(status);
    response.content_length(0);
    return response;
}

Task<void> FrontSession::run(std::shared_ptr<Exchange> exchange)
{
    try {
        exchange->response_ = co_await server_.flow_.run(exchange->request_, exchange->control_, exchange->arrivedAt_);
    } catch (...) {
        // It is unknown whether a server has run the request.
        logUnexpected(server_.log_, "request", std::current_exception());
        exchange->response_ = makeErrorResponse(UnknownOutcomeStatus);
    }
    exchange->isDone_ = true;
    co_await writeResponses();
}

Task<void> FrontSession::writeResponses()
{
    if (isWriting_) {
        co_return;
    }
    isWriting_ = true;
    while (!exchanges_.empty() && exchanges_.front()->isDone_) {
        const auto exchange = exchanges_.front();
        co_await writeResponse(*exchange);
        exchanges_.pop_front();
        --server_.requestsInProgress_;
        if (isEnded_ || isCallerDisconnected_) {
            dropUnstarted();
        }
        startExchanges();
        idleSince_ = bootNow();
        notifyChange();
    }
    isWriting_ = false;
}

Task<void> FrontSession::writeResponse(Exchange &exchange)
{
    if (!exchange.response_ || isCallerDisconnected_) {
        co_return;
    }
    const bool isFollowed = exchanges_.size() > 1 && exchanges_[1]->isStarted_;
    const bool isKeepAlive = exchange.isKeepAlive_ && (isFollowed || !server_.isStopping());
    if (!co_await write(std::move(*exchange.response_), isKeepAlive)) {
        cancelRequests();
    } else if (!isKeepAlive) {
        isEnded_ = true;
        ErrorCode error;
        stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
        // Cancels the pending read of the next request.
        stream_.cancel();
    }
}

Task<bool> FrontSession::write(HttpResponse response, bool isKeepAlive)
{
    response.keep_alive(isKeepAlive);
    if (!isKeepAlive) {
        response.set(http::field::connection, "close");
    }
    stream_.expires_after(std::chrono::microseconds(WriteTimeout));
    ErrorCode error;
    co_await http::async_write(stream_, response, redirectErrorTo(error));
    co_return !error;
}

void FrontSession::cancelRequests()
{
    if (isEnded_ || isCallerDisconnected_) {
        return;
    }
    isCallerDisconnected_ = true;
    dropUnstarted();
    const auto exchanges = exchanges_;
    for (const auto &exchange : exchanges) {
        exchange->control_->abandon();
    }
    notifyChange();
}

void FrontSession::dropUnstarted()
{
    while (!exchanges_.empty() && !exchanges_.back()->isStarted_) {
        exchanges_.pop_back();
        --server_.requestsInProgress_;
    }
}

} // namespace Goldcrestwall::Gateway
