// One HTTP/2 connection between two instances.
#pragma once

#include <LibPeer/PeerTransport.h>

#include <nghttp2/nghttp2.h>

#include <map>
#include <unordered_map>

namespace Goldcrestwall {

// This instance's role in the connection.
enum class ConnectionSide {
    Client,
    Server,
};

// An outbound call whose response is pending.
struct OutboundCall
{
    PeerChannel channel_ = PeerChannel::Control;
    std::string body_;
    TimePoint deadline_;
    PeerTransport::Callback callback_;
};

// Owns a non-blocking socket and its nghttp2 session. All functions must be called on the thread of the transport.
class PeerConnection
{
public:
    // Called for each inbound call, with the stream on which to respond.
    using RequestHandler = std::function<void(std::int32_t stream, PeerChannel channel, std::string body)>;

    PeerConnection(int socket, ConnectionSide side, PeerTimeouts timeouts, RequestHandler handler, TimePoint now);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    int socket() const
    {
        return socket_;
    }

    // Starts a call on a new stream.
    void submit(OutboundCall call);
    // Responds to an inbound call. Does nothing if the stream has been closed.
    void respond(std::int32_t stream, std::string body);

    // Reads and processes the received bytes. Returns false if the connection is closed or has failed.
    bool handleReadable(TimePoint now);
    // Writes pending frames. Returns false if the connection has failed.
    bool flush();
    // Whether to wait until the socket is writable: it is still connecting or has pending output.
    bool wantsWrite() const
    {
        return !pendingOutput_.empty() || !isConnected_;
    }

    // Sends pings and times out overdue calls. Returns false if connecting or a ping has timed out.
    bool tick(TimePoint now);
    // Whether an outbound connection has had no streams for longer than the idle time-out.
    bool isIdle(TimePoint now) const;

    // Completes all pending calls without a response.
    void failAll();

    std::uint64_t sentBytes() const
    {
        return sentBytes_;
    }
    std::uint64_t receivedBytes() const
    {
        return receivedBytes_;
    }

private:
    struct Stream
    {
        // The outbound call; unused on the server side.
        OutboundCall call_;
        bool isPartlySent_ = false;
        // The message to send, and how many of its bytes nghttp2 has taken.
        std::string output_;
        std::size_t outputOffset_ = 0;
        std::string input_;
        PeerChannel channel_ = PeerChannel::Control;
        bool isMalformed_ = false;
    };

    static nghttp2_session_callbacks *makeCallbacks();
    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t,
                        void *user);
    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onDataChunk(nghttp2_session *, std::uint8_t, std::int32_t stream, const std::uint8_t *data, std::size_t length, void *user);
    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onStreamClose(nghttp2_session *, std::int32_t stream, std::uint32_t error, void *user);
    static ssize_t
    readOutput(nghttp2_session *, std::int32_t stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags, nghttp2_data_source *, void *user);

    void finishRequest(std::int32_t id, Stream &stream);
    void complete(std::int32_t id, std::optional<std::string> body);

    int socket_;
    ConnectionSide side_;
    PeerTimeouts timeouts_;
    RequestHandler handler_;
    nghttp2_session *session_ = nullptr;
    std::unordered_map<std::int32_t, Stream> streams_;
    std::string pendingOutput_;
    bool isConnected_;
    TimePoint createdAt_;
    TimePoint lastReceivedAt_;
    TimePoint lastUsedAt_;
    TimePoint nextPingAt_;
    bool isPingPending_ = false;
    TimePoint pingedAt_;
    std::uint64_t sentBytes_ = 0;
    std::uint64_t receivedBytes_ = 0;
};

} // namespace Goldcrestwall
