// Reading of requests from a caller's connection.
#include "FrontSession.h"

#include "Tasks.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/write.hpp>

namespace Goldcrestwall::Gateway {

namespace {

// How long and how much input is read after responding to a request that was not read completely. Closing the socket earlier would reset
// the connection, and the caller could lose the response.
constexpr Duration DiscardTimeout = 1s;
constexpr std::size_t MaxDiscardedBytes = 256U << 10U;
constexpr std::size_t ReadSize = 4096;
// Unparsed bytes of a request beyond its header. The parser does not limit chunk extensions, and scans them anew with each read.
constexpr std::size_t MaxUnparsedBodyBytes = 128U << 10U;
// In seconds: by then other bodies have probably been forwarded and their memory freed, or a configuration has been read.
constexpr const char *UnreadRetryAfter = "0.3";
// Memory for handling a request, without its head and body, in bytes.
constexpr std::uint64_t HandlingBytes = 8192;
// Memory of a header field beside its name and value, in bytes.
constexpr std::uint64_t FieldBytes = 80;
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

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

RequestLimits FrontSession::limitsInForce() const
{
    const auto configuration = server_.view_.configuration();
    return configuration ? configuration->limits_ : RequestLimits();
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
    stream_.expires_after(std::chrono::microseconds(WriteTimeout));
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
    readTimer_.expires_after(std::chrono::microseconds(limit));
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

Task<void> FrontSession::discardInput()
{
    ErrorCode error;
    stream_.expires_after(std::chrono::microseconds(DiscardTimeout));
    std::array<char, ReadSize> chunk{};
    for (std::size_t discarded = 0; discarded < MaxDiscardedBytes && !error;) {
        discarded += co_await stream_.async_read_some(asio::buffer(chunk), redirectErrorTo(error));
    }
}

} // namespace Goldcrestwall::Gateway
