// HTTP/1.1 client with persistent connections.
#include "HttpClient.h"

#include "ResponseHead.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace Goldcrestwall::Gateway {

namespace {

constexpr std::uint32_t MaxResponseHeader = 64U << 10U;
// Unparsed bytes of a response. The parser itself limits neither chunk extensions nor lines of trailers, and scans them anew with each read.
constexpr std::size_t MaxUnparsedBytes = 2 * MaxResponseHeader;
// Maximum number of interim responses and responses to other requests that are skipped.
constexpr std::size_t MaxSkippedResponses = 8;
// Keep-alive time if the server announces none, and margin by which an idle connection is closed before the announced time.
constexpr Duration DefaultKeepAlive = 5s;
constexpr Duration KeepAliveMargin = 1s;
constexpr std::size_t MaxIdlePerAddress = 8;
constexpr unsigned LowestFinalStatus = 200;
constexpr unsigned LowestUnsuccessfulStatus = 300;
// A connection that has brought so many unsuccessful responses is closed, so that its list of their ids stays short.
constexpr std::size_t MaxUnsuccessfulIds = 32;

// Closes a connection that has no exchange in progress.
void closeStream(beast::tcp_stream &stream)
{
    ErrorCode error;
    stream.socket().set_option(asio::socket_base::linger(false, 0), error);
    stream.socket().close(error);
}

// Resets a connection and discards unsent bytes.
void resetStream(beast::tcp_stream &stream)
{
    ErrorCode error;
    stream.socket().close(error);
}

// Whether a connection without an exchange in progress is still open and has received no bytes.
bool isOpenAndSilent(beast::tcp_stream &stream)
{
    return peekReadable(stream.socket()) == ReadableState::Silent;
}

// Returns the timeout of the Keep-Alive header, less the margin, or the default.
Duration announcedKeepAlive(const HttpResponse &response)
{
    const auto text = response[http::field::keep_alive];
    const auto position = text.find("timeout=");
    if (position == boost::string_view::npos) {
        return DefaultKeepAlive;
    }
    int seconds = 0;
    const auto digits = text.substr(position + std::string_view("timeout=").size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::max<Duration>(Duration::zero(), std::chrono::seconds(seconds) - KeepAliveMargin);
}

// Maps an error while reading the response to an exchange outcome.
ExchangeOutcome outcomeOf(ErrorCode error)
{
    if (error == asio::error::no_memory) {
        return ExchangeOutcome::NoRoom;
    }
    const bool isProtocolError = error.category() == make_error_code(http::error::end_of_stream).category() && error != http::error::end_of_stream
        && error != http::error::partial_message;
    return isProtocolError ? ExchangeOutcome::Malformed : ExchangeOutcome::Lost;
}

} // namespace

const char *exchangeOutcomeName(ExchangeOutcome outcome)
{
    switch (outcome) {
    case ExchangeOutcome::Answered:
        return "answered";
    case ExchangeOutcome::NotSent:
        return "not-sent";
    case ExchangeOutcome::Lost:
        return "lost";
    case ExchangeOutcome::Malformed:
        return "malformed";
    case ExchangeOutcome::NoRoom:
        return "no-room";
    case ExchangeOutcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

void ExchangeHandle::cancel()
{
    isCancelled_ = true;
    if (stream_) {
        resetStream(*stream_);
    }
}

bool HttpClient::Connection::mayCarry(const ExchangeOptions &options) const
{
    const auto id = std::hash<std::string>()(options.correlationId_);
    return options.correlationId_.empty() || std::ranges::find(unsuccessfulIds_, id) == unsuccessfulIds_.end();
}

bool HttpClient::Connection::record(const ExchangeOptions &options, const ExchangeResult &result, TimePoint now)
{
    keepAlive_ = announcedKeepAlive(result.response_);
    idleSince_ = now;
    if (!options.correlationId_.empty() && result.response_.result_int() >= LowestUnsuccessfulStatus) {
        unsuccessfulIds_.push_back(std::hash<std::string>()(options.correlationId_));
    }
    const bool isCorrelated = options.correlationHeader_.empty() || result.isCorrelated_;
    return isCorrelated && unsuccessfulIds_.size() < MaxUnsuccessfulIds;
}

std::optional<HttpClient::Connection> HttpClient::takeIdle(const std::string &address, const ExchangeOptions &options, TimePoint now)
{
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return std::nullopt;
    }
    auto &connections = found->second;
    // The most recently used connection is the most likely to be open.
    for (auto index = connections.size(); index > 0; --index) {
        if (!connections[index - 1].mayCarry(options)) {
            continue;
        }
        Connection idle = std::move(connections[index - 1]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index) - 1);
        if (now - idle.idleSince_ < std::min(options.maxIdle_, idle.keepAlive_) && isOpenAndSilent(*idle.stream_)) {
            return idle;
        }
        closeStream(*idle.stream_);
    }
    return std::nullopt;
}

void HttpClient::storeIdle(const std::string &address, Connection connection)
{
    auto &connections = idle_[address];
    connection.stream_->expires_never();
    connections.push_back(std::move(connection));
    if (connections.size() > MaxIdlePerAddress) {
        closeStream(*connections.front().stream_);
        connections.pop_front();
    }
}

void HttpClient::closeIdle(TimePoint now)
{
    for (auto &[address, connections] : idle_) {
        std::erase_if(connections, [now](Connection &idle) {
            const bool isOver = now - idle.idleSince_ >= idle.keepAlive_ || !isOpenAndSilent(*idle.stream_);
            if (isOver) {
                closeStream(*idle.stream_);
            }
            return isOver;
        });
    }
    std::erase_if(idle_, [](const auto &entry) {
        return entry.second.empty();
    });
}

void HttpClient::closeIdleSince(const std::string &address, TimePoint time)
{
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    std::erase_if(found->second, [time](Connection &idle) {
        const bool isOlder = idle.idleSince_ < time;
        if (isOlder) {
            resetStream(*idle.stream_);
        }
        return isOlder;
    });
}

Task<HttpClient::Connection> HttpClient::connect(const std::string &address, Duration timeout, std::shared_ptr<ExchangeHandle> handle)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        co_return Connection();
    }
    auto stream = std::make_shared<beast::tcp_stream>(loop_);
    handle->stream_ = stream;
    stream->expires_after(std::chrono::microseconds(timeout));
    ErrorCode error;
    co_await stream->async_connect(*endpoint, redirectErrorTo(error));
    if (error || handle->isCancelled()) {
        closeStream(*stream);
        co_return Connection();
    }
    configureSocket(stream->socket());
    resetOnClose(stream->socket());
    Connection connection;
    connection.stream_ = std::move(stream);
    connection.number_ = ++connectionCount_;
    connection.idleSince_ = bootNow();
    co_return connection;
}

Task<ErrorCode>
HttpClient::readMessage(beast::tcp_stream &stream, InputBuffer &buffer, ResponseParser &parser, MemoryReservation *reservation, ErrorCode writeError)
{
    parser.eager(false);
    ErrorCode error = co_await buffer.readHead(stream, parser, MaxUnparsedBytes, checkHeadLines);
    if (!error) {
        error = checkResponseHead(parser.get());
    }
    // The system reports the error of a connection once. The write has taken it, so a reset would now be read as an orderly end.
    if (!error && writeError && parser.need_eof()) {
        co_return writeError;
    }
    const auto length = announcedLength(parser);
    if (!error && !parser.is_done() && reservation != nullptr && length && !reservation->tryReserveBody(*length)) {
        co_return asio::error::no_memory;
    }
    while (!error && !parser.is_done()) {
        error = co_await buffer.readSome(stream, parser, MaxUnparsedBytes);
        if (!error && reservation != nullptr && !reservation->tryReserveBody(parser.get().body().size())) {
            co_return asio::error::no_memory;
        }
    }
    co_return error;
}

Task<bool>
HttpClient::readResponse(beast::tcp_stream &stream, const HttpRequest &request, const ExchangeOptions &options, ErrorCode writeError, ExchangeResult &result)
{
    MemoryAccount uncounted(std::numeric_limits<std::uint64_t>::max());
    InputBuffer buffer(options.bodyReservation_ != nullptr ? options.bodyReservation_->account() : uncounted, MemoryHolder::ServerInput);
    bool hasOtherResponse = false;
    for (std::size_t skipped = 0; skipped <= MaxSkippedResponses; ++skipped) {
        ResponseParser parser;
        parser.body_limit(options.maxResponseBody_);
        parser.header_limit(MaxResponseHeader);
        if (request.method() == http::verb::head) {
            parser.skip(true);
        }
        const ErrorCode error = co_await readMessage(stream, buffer, parser, options.bodyReservation_, writeError);
        if (error) {
            result.outcome_ = outcomeOf(error);
            const bool hasBegun = parser.is_header_done() || buffer.size() > 0;
            result.isUnbounded_ = error == beast::error::timeout && hasBegun && !announcedLength(parser);
            co_return false;
        }
        result.response_ = parser.release();
        const auto &response = result.response_;
        if (response.result_int() < LowestFinalStatus) {
            continue;
        }
        const auto correlationId = options.correlationHeader_.empty() ? boost::string_view() : response[options.correlationHeader_];
        if (correlationId.empty() || correlationId == options.correlationId_) {
            result.outcome_ = ExchangeOutcome::Answered;
            result.isCorrelated_ = !correlationId.empty();
            // A server that writes responses nobody is waiting for may be closing the connection, or write the next one there too.
            co_return !hasOtherResponse && request.keep_alive() && response.keep_alive() && buffer.size() == 0 && !response.need_eof();
        }
        if (!response.keep_alive()) {
            result.outcome_ = ExchangeOutcome::Lost;
            co_return false;
        }
        hasOtherResponse = true;
    }
    result.outcome_ = ExchangeOutcome::Malformed;
    co_return false;
}

Task<ExchangeResult>
HttpClient::exchange(const std::string &address, const HttpRequest &request, ExchangeOptions options, std::shared_ptr<ExchangeHandle> handle)
{
    ExchangeResult result;
    const TimePoint startedAt = bootNow();
    auto idle = takeIdle(address, options, startedAt);
    result.isNewConnection_ = !idle;
    Connection connection;
    if (idle) {
        connection = std::move(*idle);
    } else {
        connection = co_await connect(address, std::min(options.connectTimeout_, options.timeout_), handle);
    }
    const auto stream = connection.stream_;
    if (!stream || handle->isCancelled()) {
        result.outcome_ = handle->isCancelled() ? ExchangeOutcome::Cancelled : ExchangeOutcome::NotSent;
        co_return result;
    }
    const Duration timeLeft = options.timeout_ - (bootNow() - startedAt);
    const bool maySend = timeLeft > Duration::zero() && (!options.maySend_ || options.maySend_());
    // What a server writes before the request is no response to it.
    if (!maySend || !isOpenAndSilent(*stream)) {
        closeStream(*stream);
        result.outcome_ = ExchangeOutcome::NotSent;
        co_return result;
    }
    handle->stream_ = stream;
    handle->isSent_ = true;
    handle->connectionProvedAt_ = connection.idleSince_;
    result.connection_ = connection.number_;
    result.exchangesOnConnection_ = ++connection.exchanges_;
    stream->expires_after(std::chrono::microseconds(timeLeft));
    ErrorCode writeError;
    co_await http::async_write(*stream, request, redirectErrorTo(writeError));
    // A server may respond and close before it has read the whole request, so the response is read even after a failed write.
    const bool isReusable = co_await readResponse(*stream, request, options, writeError, result);
    handle->stream_.reset();
    if (handle->isCancelled()) {
        result.outcome_ = ExchangeOutcome::Cancelled;
        co_return result;
    }
    if (result.outcome_ == ExchangeOutcome::Answered && isReusable && !writeError && connection.record(options, result, bootNow())) {
        storeIdle(address, std::move(connection));
        co_return result;
    }
    if (result.outcome_ == ExchangeOutcome::Answered) {
        closeStream(*stream);
    } else {
        resetStream(*stream);
    }
    co_return result;
}

} // namespace Goldcrestwall::Gateway
