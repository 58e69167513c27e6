// HTTP/1.1 connection handling for callers: reading, pipelining, responses and closing.
#include "FrontSession.h"

#include "Tasks.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/write.hpp>

namespace Goldcrestwall::Gateway {

namespace {

constexpr Duration WriteTimeout = 10s;
// How long and how much input is read after responding to a request that was not read completely. Closing the socket earlier would reset
// the connection, and the caller could lose the response.
constexpr Duration DiscardTimeout = 1s;
constexpr std::size_t MaxDiscardedBytes = 256U << 10U;
constexpr std::size_t ReadSize = 4096;
// Unparsed bytes of a request beyond its header. The parser does not limit chunk extensions, and scans them anew with each read.
constexpr std::size_t MaxUnparsedBodyBytes = 128U << 10U;
// Requests of one connection that are read before the first of them has its response.
constexpr std::size_t MaxPipelined = 32;
// In seconds: by then other bodies have probably been forwarded and their memory freed, or a configuration has been read.
constexpr const char *UnreadRetryAfter = "0.3";
// Memory for handling a request, without its head and body, in bytes.
constexpr std::uint64_t HandlingBytes = 8192;
// Memory of a header field beside its name and value, in bytes.
constexpr std::uint64_t FieldBytes = 80;
constexpr unsigned UnknownOutcomeStatus = 502;
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

std::chrono::microseconds toChrono(Duration duration)
{
    return duration;
}

unsigned statusOfError(ErrorCode error)
{
    if (error == asio::error::no_memory) {
        return 503;
    }
    if (error == http::error::header_limit) {
        return 431;
    }
    if (error == beast::error::timeout) {
        return 408;
    }
    return error == http::error::body_limit ? 413 : 400;
}

HttpResponse makeErrorResponse(unsigned status)
{
    HttpResponse response;
    response.version(11);
    response.result(status);
    response.content_length(0);
    return response;
}

// The memory of a request without its body while it is handled, in bytes: its head as received and as forwarded, and its handling.
std::uint64_t requestCost(const HttpRequest &request)
{
    std::uint64_t head = request.target().size();
    for (const auto &field : request) {
        head += FieldBytes + field.name_string().size() + field.value().size();
    }
    return HandlingBytes + 2 * head;
}

// Whether the request's length is unambiguous, so that no part of it can be read as another request (request smuggling).
bool isWellFramed(const HttpRequest &request)
{
    const auto encoding = request[http::field::transfer_encoding];
    const bool isEncodingKnown = encoding.empty() || boost::iequals(encoding, "chunked");
    return isEncodingKnown && request.count(http::field::host) == 1 && request.count(http::field::transfer_encoding) <= 1;
}

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
    idleTimer_.expires_after(toChrono(wait));
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

RequestLimits FrontSession::limitsInForce() const
{
    const auto configuration = server_.view_.configuration();
    return configuration ? configuration->limits_ : RequestLimits();
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

Task<void> FrontSession::awaitDisconnect()
{
    std::array<char, ReadSize> ignored{};
    while (!isEnded_ && !isCallerDisconnected_) {
        stream_.expires_never();
        ErrorCode error;
        co_await stream_.async_read_some(asio::buffer(ignored), redirectErrorTo(error));
        if (error) {
            cancelRequests();
        }
    }
}

Task<ErrorCode> FrontSession::awaitRequest()
{
    ErrorCode error;
    while (buffer_.size() == 0) {
        // Input that the socket already holds arrived while reading was paused: the pipeline was full.
        const bool isWaiting = stream_.socket().available(error) > 0;
        if (isEndingIdle_ && !isWaiting) {
            co_return asio::error::operation_aborted;
        }
        const TimePoint pausedAt = receivedAt_;
        const TimePoint startedAt = bootNow();
        stream_.expires_never();
        error = co_await buffer_.readFirst(stream_);
        const bool isCancelledAsIdle = isEndingIdle_ && error == asio::error::operation_aborted;
        if (error && !isCancelledAsIdle) {
            co_return error;
        }
        const TimePoint now = bootNow();
        if (isWaiting && !exchanges_.empty()) {
            receivedAt_ = pausedAt;
        } else {
            // A caller that waits for its responses has not sent this request before the last one.
            const TimePoint silentUntil = isWaiting ? TimePoint() : exchanges_.empty() ? std::max(startedAt, idleSince_) : startedAt;
            receivedAt_ = std::max(silentUntil, now - server_.loopDelay_.delay(now));
        }
    }
    isEndingIdle_ = false;
    co_return ErrorCode();
}

Task<bool> FrontSession::readRequest(Exchange &exchange)
{
    buffer_.trim();
    isBetweenRequests_ = true;
    ErrorCode error = co_await awaitRequest();
    if (error) {
        cancelRequests();
        co_return false;
    }
    isBetweenRequests_ = false;
    // The configuration may have changed while the connection was idle.
    limits_ = limitsInForce();
    hasOperatorLimits_ = server_.view_.configuration() != nullptr;
    Parser parser;
    parser.header_limit(limits_.maxHeaderBytes_);
    parser.body_limit(limits_.maxBodyBytes_);
    exchange.arrivedAt_ = receivedAt_;
    stream_.expires_never();
    error = co_await readHeader(parser, exchange.requestReservation_);
    if (!error) {
        error = co_await sendContinue(parser.get());
    }
    if (!error) {
        error = co_await readBody(parser, exchange.requestReservation_);
    }
    if (isEnded_ || isCallerDisconnected_ || hasReadTimedOut_) {
        co_return false;
    }
    if (!error) {
        receivedAt_ = bootNow();
        exchange.request_ = parser.release();
        exchange.isKeepAlive_ = exchange.request_.keep_alive() && exchange.request_.version() == 11;
        co_return true;
    }
    const bool isCallerDisconnected = error == http::error::end_of_stream || error == http::error::partial_message || error == asio::error::eof
        || error == asio::error::connection_reset || error == asio::error::operation_aborted;
    if (isCallerDisconnected) {
        cancelRequests();
    } else {
        answerReadError(error);
    }
    co_return false;
}

std::size_t FrontSession::maxInputBytes() const
{
    return limits_.maxHeaderBytes_ + MaxUnparsedBodyBytes;
}

Task<ErrorCode> FrontSession::readHeader(Parser &parser, MemoryReservation &reservation)
{
    ErrorCode error;
    parser.eager(false);
    startReadTimer(limits_.headerTimeout_);
    while (!error && !parser.is_header_done() && !hasReadTimedOut_) {
        stream_.expires_never();
        error = co_await buffer_.readSome(stream_, parser, maxInputBytes());
    }
    stopReadTimer();
    if (error) {
        co_return error;
    }
    if (!isWellFramed(parser.get())) {
        co_return http::error::bad_transfer_encoding;
    }
    if (!reservation.tryReserveBody(announcedLength(parser).value_or(0), requestCost(parser.get()))) {
        co_return asio::error::no_memory;
    }
    co_return error;
}

Task<ErrorCode> FrontSession::sendContinue(const HttpRequest &request)
{
    ErrorCode error;
    if (!boost::iequals(request[http::field::expect], "100-continue")) {
        co_return error;
    }
    while (!exchanges_.empty() && !isEnded_) {
        co_await awaitChange();
    }
    if (isEnded_) {
        co_return asio::error::operation_aborted;
    }
    stream_.expires_after(toChrono(WriteTimeout));
    co_await asio::async_write(stream_, asio::buffer(ContinueResponse), redirectErrorTo(error));
    stream_.expires_never();
    co_return error;
}

Task<ErrorCode> FrontSession::readBody(Parser &parser, MemoryReservation &reservation)
{
    ErrorCode error;
    const std::uint64_t headCost = requestCost(parser.get());
    while (!error && !parser.is_done() && !hasReadTimedOut_) {
        startReadTimer(limits_.idleTimeout_);
        // A response that is being written sets the stream's time limit for reads too.
        stream_.expires_never();
        error = co_await buffer_.readSome(stream_, parser, maxInputBytes());
        if (!error && !reservation.tryReserveBody(parser.get().body().size(), headCost)) {
            error = asio::error::no_memory;
        }
    }
    stopReadTimer();
    co_return error;
}

void FrontSession::startReadTimer(Duration limit)
{
    readTimer_.expires_after(toChrono(limit));
    readTimer_.async_wait([self = shared_from_this()](ErrorCode error) {
        // The timer may have been set anew or stopped after its handler was queued.
        const bool isOver = !error && asio::steady_timer::clock_type::now() >= self->readTimer_.expiry();
        if (!isOver || self->isEnded_ || self->isCallerDisconnected_ || self->hasReadTimedOut_) {
            return;
        }
        self->hasReadTimedOut_ = true;
        self->answerReadError(beast::error::timeout);
    });
}

void FrontSession::stopReadTimer()
{
    readTimer_.expires_at(asio::steady_timer::time_point::max());
}

void FrontSession::answerReadError(ErrorCode error)
{
    const bool isTooLarge = error == http::error::header_limit || error == http::error::body_limit;
    // Callers never repeat a request after 413 or 431. Those are the operator's to decide, who may allow more than the program's own limits.
    const unsigned status = isTooLarge && !hasOperatorLimits_ ? 503 : statusOfError(error);
    if (error == asio::error::no_memory) {
        server_.reportRefusal(buffer_.size() < InputBuffer::FreeBytes ? MemoryHolder::Requests : MemoryHolder::CallerInput);
    }
    server_.log_.write(LogLine("request-unreadable").add("status", status).add("reason", error.message()), LogImportance::Kept, bootNow());
    server_.metrics_.increment("goldcrestwall_unreadable_total", {{"status", std::to_string(status)}});
    auto exchange = std::make_shared<Exchange>(server_.memory_);
    HttpResponse response = makeErrorResponse(status);
    if (status == 503) {
        response.set(http::field::retry_after, UnreadRetryAfter);
    }
    exchange->response_ = std::move(response);
    exchange->isStarted_ = true;
    exchange->isDone_ = true;
    add(std::move(exchange));
    spawn(server_.loop_, server_.log_, "refusal", [self = shared_from_this()] {
        return self->writeResponses();
    });
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
    stream_.expires_after(toChrono(WriteTimeout));
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

Task<void> FrontSession::discardInput()
{
    ErrorCode error;
    stream_.expires_after(toChrono(DiscardTimeout));
    std::array<char, ReadSize> chunk{};
    for (std::size_t discarded = 0; discarded < MaxDiscardedBytes && !error;) {
        discarded += co_await stream_.async_read_some(asio::buffer(chunk), redirectErrorTo(error));
    }
}

} // namespace Goldcrestwall::Gateway
