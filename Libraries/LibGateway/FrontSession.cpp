#include "FrontSession.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/write.hpp>

namespace Goldcrestwall::Gateway {

namespace {

constexpr Duration WriteTimeout = 10s;
// How long and how much is read from a caller whose request was refused before it was read whole, so that the answer is not lost to
// a reset.
constexpr Duration DrainTimeout = 1s;
constexpr std::size_t MaxDrained = 256U << 10U;
constexpr std::size_t ReadSize = 4096;
// In seconds: when other bodies will probably have been passed on.
constexpr const char *MemoryRetryAfter = "0.3";
constexpr std::string_view InterimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

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
    return error == http::error::body_limit ? 413 : 400;
}

// Whether the request's length is certain, so that nothing behind it can be taken for a request of its own.
bool isWellFramed(const HttpRequest &request)
{
    const auto encoding = request[http::field::transfer_encoding];
    const bool isEncodingKnown = encoding.empty() || boost::iequals(encoding, "chunked");
    return isEncodingKnown && request.count(http::field::host) == 1 && request.count(http::field::transfer_encoding) <= 1;
}

} // namespace

FrontSession::FrontSession(FrontServer &server, Tcp::socket socket)
    : server_(server)
    , stream_(std::move(socket))
{
    configureSocket(stream_.socket());
}

void FrontSession::start()
{
    asio::co_spawn(
        server_.loop_,
        [self = shared_from_this()]() -> Task<void> {
            co_await self->serve();
            ErrorCode error;
            self->stream_.socket().close(error);
            self->server_.sessions_.erase(self);
        },
        asio::detached);
}

void FrontSession::closeIfIdle()
{
    if (isIdle_) {
        ErrorCode error;
        stream_.socket().shutdown(Tcp::socket::shutdown_both, error);
    }
}

Task<void> FrontSession::serve()
{
    for (;;) {
        if (const auto configuration = server_.view_.configuration()) {
            limits_ = configuration->limits_;
        }
        Parser parser;
        parser.header_limit(limits_.maxHeaderBytes_);
        parser.body_limit(limits_.maxBodyBytes_);
        isIdle_ = true;
        BodyShare share(server_.bodies_);
        if (!co_await readRequest(parser, share)) {
            co_return;
        }
        const HttpRequest request = parser.release();
        const auto control = std::make_shared<RequestControl>(server_.bodies_);
        watchCaller(control);
        ++server_.requestsInProgress_;
        auto response = co_await server_.flow_.run(request, control, arrivedAt_);
        ErrorCode error;
        stream_.socket().cancel(error);
        bool isOpen = response.has_value();
        if (isOpen) {
            const bool isKept = request.keep_alive() && request.version() == 11 && !server_.isStopping();
            isOpen = co_await answer(std::move(*response), isKept) && isKept;
        }
        --server_.requestsInProgress_;
        if (!isOpen) {
            stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
            co_return;
        }
    }
}

Task<bool> FrontSession::readRequest(Parser &parser, BodyShare &share)
{
    ErrorCode error;
    if (buffer_.size() == 0) {
        stream_.expires_after(toChrono(limits_.idleTimeout_));
        const std::size_t size = co_await stream_.async_read_some(buffer_.prepare(ReadSize), failingInto(error));
        if (error) {
            co_return false;
        }
        buffer_.commit(size);
    }
    isIdle_ = false;
    arrivedAt_ = bootNow();
    stream_.expires_after(toChrono(limits_.headerTimeout_));
    co_await http::async_read_header(stream_, buffer_, parser, failingInto(error));
    if (!error && !isWellFramed(parser.get())) {
        error = http::error::bad_transfer_encoding;
    }
    if (const auto length = parser.content_length(); !error && length && !share.tryHold(*length)) {
        error = asio::error::no_memory;
    }
    if (!error && boost::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_await asio::async_write(stream_, asio::buffer(InterimAnswer), failingInto(error));
    }
    if (!error) {
        error = co_await readBody(parser, share);
    }
    if (!error) {
        co_return true;
    }
    const bool isCallerGone = error == http::error::end_of_stream || error == http::error::partial_message || error == asio::error::eof
        || error == asio::error::connection_reset || error == asio::error::operation_aborted || error == beast::error::timeout;
    if (!isCallerGone) {
        co_await answerMalformed(error);
    }
    co_return false;
}

Task<ErrorCode> FrontSession::readBody(Parser &parser, BodyShare &share)
{
    ErrorCode error;
    while (!error && !parser.is_done()) {
        stream_.expires_after(toChrono(limits_.idleTimeout_));
        co_await http::async_read_some(stream_, buffer_, parser, failingInto(error));
        if (!error && !share.tryHold(parser.get().body().size())) {
            co_return asio::error::no_memory;
        }
    }
    co_return error;
}

Task<void> FrontSession::answerMalformed(ErrorCode error)
{
    const unsigned status = statusOfError(error);
    server_.log_.write(LogLine("request-unreadable").add("status", status).add("reason", error.message()), LogImportance::Kept, bootNow());
    server_.metrics_.increment("goldcrestwall_unreadable_total", {{"status", std::to_string(status)}});
    HttpResponse response;
    response.version(11);
    response.result(status);
    response.content_length(0);
    if (status == 503) {
        response.set(http::field::retry_after, MemoryRetryAfter);
    }
    co_await answer(std::move(response), false);
    co_await drain();
}

Task<bool> FrontSession::answer(HttpResponse response, bool isKept)
{
    response.keep_alive(isKept);
    if (!isKept) {
        response.set(http::field::connection, "close");
    }
    stream_.expires_after(toChrono(WriteTimeout));
    ErrorCode error;
    co_await http::async_write(stream_, response, failingInto(error));
    co_return !error;
}

Task<void> FrontSession::drain()
{
    ErrorCode error;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
    stream_.expires_after(toChrono(DrainTimeout));
    std::array<char, ReadSize> chunk{};
    for (std::size_t drained = 0; drained < MaxDrained && !error;) {
        drained += co_await stream_.async_read_some(asio::buffer(chunk), failingInto(error));
    }
}

void FrontSession::watchCaller(const std::shared_ptr<RequestControl> &control)
{
    if (buffer_.size() > 0) {
        // The next request is here already; a caller that leaves is noticed when it is read.
        return;
    }
    stream_.expires_never();
    stream_.socket().async_wait(Tcp::socket::wait_read, [self = shared_from_this(), control](ErrorCode error) {
        if (error) {
            return;
        }
        char byte = 0;
        const auto read = ::recv(self->stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool isOpen = read > 0 || (read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        if (!isOpen) {
            control->abandon();
        }
    });
}

} // namespace Goldcrestwall::Gateway
