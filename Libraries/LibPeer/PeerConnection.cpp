// HTTP/2 connection: nghttp2 callbacks, pings, time-outs and message limits.
#include <LibPeer/PeerConnection.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace Goldcrestwall {

namespace {

constexpr std::size_t MaxMessageBytes = 20 * 1024 * 1024;
constexpr std::size_t ReadChunkBytes = 65536;
constexpr std::uint32_t MaxConcurrentStreams = 4096;
constexpr std::uint32_t WindowBytes = 1 << 24;
constexpr std::string_view ControlPath = "/control";
constexpr std::string_view DispatchPath = "/dispatch";
constexpr std::string_view HistoryPath = "/history";
constexpr std::string_view CancelPath = "/cancel";

std::string_view pathOf(PeerChannel channel)
{
    switch (channel) {
    case PeerChannel::Control:
        return ControlPath;
    case PeerChannel::Dispatch:
        return DispatchPath;
    case PeerChannel::History:
        return HistoryPath;
    case PeerChannel::Cancel:
        return CancelPath;
    }
    return ControlPath;
}

nghttp2_nv makeHeader(std::string_view name, std::string_view value)
{
    // nghttp2 takes non-const pointers but only copies from them.
    auto *nameBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    auto *valueBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    return {nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

PeerConnection *connectionOf(void *user)
{
    return static_cast<PeerConnection *>(user);
}

} // namespace

nghttp2_session_callbacks *PeerConnection::makeCallbacks()
{
    nghttp2_session_callbacks *callbacks = nullptr;
    CHECK_EQ(nghttp2_session_callbacks_new(&callbacks), 0);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onDataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    return callbacks;
}

PeerConnection::PeerConnection(int socket, ConnectionSide side, PeerTimeouts timeouts, RequestHandler handler, TimePoint now)
    : socket_(socket)
    , side_(side)
    , timeouts_(timeouts)
    , handler_(std::move(handler))
    , isConnected_(side == ConnectionSide::Server)
    , createdAt_(now)
    , lastReceivedAt_(now)
    , lastUsedAt_(now)
    , nextPingAt_(now + timeouts.pingInterval_)
{
    static nghttp2_session_callbacks *const callbacks = makeCallbacks();
    if (side_ == ConnectionSide::Client) {
        CHECK_EQ(nghttp2_session_client_new(&session_, callbacks, this), 0);
    } else {
        CHECK_EQ(nghttp2_session_server_new(&session_, callbacks, this), 0);
    }
    const std::array<nghttp2_settings_entry, 2> settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes},
    };
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, WindowBytes);
}

PeerConnection::~PeerConnection()
{
    nghttp2_session_del(session_);
    ::close(socket_);
}

void PeerConnection::submit(OutboundCall call)
{
    const std::string_view path = pathOf(call.channel_);
    const std::array<nghttp2_nv, 4> headers{
        makeHeader(":method", "POST"),
        makeHeader(":scheme", "http"),
        makeHeader(":authority", "peer"),
        makeHeader(":path", path),
    };
    nghttp2_data_provider provider{};
    provider.read_callback = readOutput;
    const std::int32_t id = nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0) {
        call.callback_({std::nullopt, false});
        return;
    }
    Stream stream;
    stream.output_ = std::move(call.body_);
    stream.call_ = std::move(call);
    streams_.emplace(id, std::move(stream));
}

void PeerConnection::respond(std::int32_t id, std::string body)
{
    const auto stream = streams_.find(id);
    if (stream == streams_.end()) {
        return;
    }
    stream->second.output_ = std::move(body);
    const std::array<nghttp2_nv, 1> headers{makeHeader(":status", "200")};
    nghttp2_data_provider provider{};
    provider.read_callback = readOutput;
    nghttp2_submit_response(session_, id, headers.data(), headers.size(), &provider);
}

bool PeerConnection::handleReadable(TimePoint now)
{
    std::array<std::uint8_t, ReadChunkBytes> buffer{};
    while (true) {
        const ssize_t count = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        }
        if (count == 0) {
            return false;
        }
        lastReceivedAt_ = now;
        isPingPending_ = false;
        receivedBytes_ += static_cast<std::uint64_t>(count);
        if (nghttp2_session_mem_recv(session_, buffer.data(), static_cast<std::size_t>(count)) < 0) {
            return false;
        }
        if (static_cast<std::size_t>(count) < buffer.size()) {
            return true;
        }
    }
}

bool PeerConnection::flush()
{
    if (!isConnected_) {
        int error = 0;
        socklen_t length = sizeof(error);
        if (::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            return false;
        }
        sockaddr_storage peer{};
        socklen_t peerLength = sizeof(peer);
        if (::getpeername(socket_, reinterpret_cast<sockaddr *>(&peer), &peerLength) != 0) {
            return true;
        }
        isConnected_ = true;
    }
    while (true) {
        const std::uint8_t *data = nullptr;
        const ssize_t length = nghttp2_session_mem_send(session_, &data);
        if (length < 0) {
            return false;
        }
        if (length == 0) {
            break;
        }
        pendingOutput_.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
    }
    std::size_t written = 0;
    while (written < pendingOutput_.size()) {
        const ssize_t count = ::send(socket_, pendingOutput_.data() + written, pendingOutput_.size() - written, MSG_NOSIGNAL);
        if (count < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
                return false;
            }
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    sentBytes_ += written;
    pendingOutput_.erase(0, written);
    return true;
}

bool PeerConnection::tick(TimePoint now)
{
    // 1. A connection that is not established in time, or on which a ping is not answered in time, is dead even if the kernel reports no
    // error.
    if (!isConnected_ && now - createdAt_ > timeouts_.connectTimeout_) {
        return false;
    }
    if (isPingPending_ && now - pingedAt_ > timeouts_.pingTimeout_) {
        return false;
    }
    if (isConnected_ && side_ == ConnectionSide::Client && now >= nextPingAt_) {
        nextPingAt_ = now + timeouts_.pingInterval_;
        if (!isPingPending_ && now - lastReceivedAt_ >= timeouts_.pingInterval_) {
            nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
            isPingPending_ = true;
            pingedAt_ = now;
        }
    }
    // 2. Time out overdue calls and reset their streams, so that the peer knows that the response is no longer needed.
    if (side_ == ConnectionSide::Client) {
        std::vector<std::int32_t> overdue;
        for (const auto &[id, stream] : streams_) {
            if (stream.call_.deadline_ <= now) {
                overdue.push_back(id);
            }
        }
        for (const std::int32_t id : overdue) {
            nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
            complete(id, std::nullopt);
        }
    }
    if (!streams_.empty()) {
        lastUsedAt_ = now;
    }
    return true;
}

bool PeerConnection::isIdle(TimePoint now) const
{
    return side_ == ConnectionSide::Client && streams_.empty() && now - lastUsedAt_ > timeouts_.idleTimeout_;
}

void PeerConnection::failAll()
{
    std::vector<std::int32_t> ids;
    for (const auto &[id, stream] : streams_) {
        ids.push_back(id);
    }
    for (const std::int32_t id : ids) {
        complete(id, std::nullopt);
    }
}

void PeerConnection::complete(std::int32_t id, std::optional<std::string> body)
{
    const auto position = streams_.find(id);
    if (position == streams_.end()) {
        return;
    }
    const PeerTransport::Callback callback = std::move(position->second.call_.callback_);
    const bool wasSent = position->second.isPartlySent_;
    streams_.erase(position);
    if (callback) {
        callback({std::move(body), wasSent});
    }
}

int PeerConnection::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    PeerConnection *connection = connectionOf(user);
    if (connection->side_ == ConnectionSide::Server) {
        connection->streams_.try_emplace(frame->hd.stream_id);
    }
    return 0;
}

int PeerConnection::onHeader(nghttp2_session *,
                             const nghttp2_frame *frame,
                             const std::uint8_t *name,
                             std::size_t nameLength,
                             const std::uint8_t *value,
                             std::size_t valueLength,
                             std::uint8_t,
                             void *user)
{
    PeerConnection *connection = connectionOf(user);
    const auto stream = connection->streams_.find(frame->hd.stream_id);
    const std::string_view header(reinterpret_cast<const char *>(name), nameLength);
    const std::string_view content(reinterpret_cast<const char *>(value), valueLength);
    if (stream == connection->streams_.end()) {
        return 0;
    }
    if (connection->side_ == ConnectionSide::Server && header == ":path") {
        stream->second.isMalformed_ = true;
        for (const PeerChannel channel : {PeerChannel::Control, PeerChannel::Dispatch, PeerChannel::History, PeerChannel::Cancel}) {
            if (content == pathOf(channel)) {
                stream->second.channel_ = channel;
                stream->second.isMalformed_ = false;
            }
        }
    }
    if (connection->side_ == ConnectionSide::Client && header == ":status" && content != "200") {
        stream->second.isMalformed_ = true;
    }
    return 0;
}

int PeerConnection::onDataChunk(nghttp2_session *session, std::uint8_t, std::int32_t id, const std::uint8_t *data, std::size_t length, void *user)
{
    PeerConnection *connection = connectionOf(user);
    const auto stream = connection->streams_.find(id);
    if (stream == connection->streams_.end()) {
        return 0;
    }
    if (stream->second.input_.size() + length > MaxMessageBytes) {
        stream->second.isMalformed_ = true;
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
        return 0;
    }
    stream->second.input_.append(reinterpret_cast<const char *>(data), length);
    return 0;
}

int PeerConnection::onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    PeerConnection *connection = connectionOf(user);
    const bool isStreamFrame = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!isStreamFrame || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    const std::int32_t id = frame->hd.stream_id;
    const auto stream = connection->streams_.find(id);
    if (stream == connection->streams_.end()) {
        return 0;
    }
    if (connection->side_ == ConnectionSide::Client) {
        const bool isMalformed = stream->second.isMalformed_;
        std::string body = std::move(stream->second.input_);
        connection->complete(id, isMalformed ? std::nullopt : std::optional(std::move(body)));
        return 0;
    }
    connection->finishRequest(id, stream->second);
    return 0;
}

void PeerConnection::finishRequest(std::int32_t id, Stream &stream)
{
    if (stream.isMalformed_) {
        const std::array<nghttp2_nv, 1> headers{makeHeader(":status", "400")};
        nghttp2_submit_response(session_, id, headers.data(), headers.size(), nullptr);
        return;
    }
    handler_(id, stream.channel_, std::move(stream.input_));
}

int PeerConnection::onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t, void *user)
{
    connectionOf(user)->complete(id, std::nullopt);
    return 0;
}

ssize_t PeerConnection::readOutput(
    nghttp2_session *, std::int32_t id, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags, nghttp2_data_source *, void *user)
{
    PeerConnection *connection = connectionOf(user);
    const auto position = connection->streams_.find(id);
    if (position == connection->streams_.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    Stream &stream = position->second;
    // From here on, part of the message may have reached the peer.
    stream.isPartlySent_ = true;
    const std::size_t count = std::min(length, stream.output_.size() - stream.outputOffset_);
    std::copy_n(stream.output_.data() + stream.outputOffset_, count, buffer);
    stream.outputOffset_ += count;
    if (stream.outputOffset_ == stream.output_.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

} // namespace Goldcrestwall
