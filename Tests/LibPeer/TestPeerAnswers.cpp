// Tests calls between instances whose response is cut off, against a peer that sends given HTTP/2 frames.
#include <LibPeer/LibPeer.h>
#include <StandIns/ScriptedResponder.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <thread>

using namespace Goldcrestwall;

namespace {

constexpr std::size_t PrefaceSize = 24;
constexpr std::size_t FrameHeadSize = 9;
constexpr char DataFrame = 0;
constexpr char HeadersFrame = 1;
constexpr char SettingsFrame = 4;
constexpr char EndStream = 1;
constexpr char EndHeaders = 4;
// Entries of the static table of RFC 7541.
const std::string Status200 = "\210";
const std::string Status500 = "\216";
// The literal field "content-length: 5".
const std::string Length5 = std::string("\017\015\0015", 4);

// A frame of the only stream, or of the connection if it has settings.
std::string makeFrame(char type, char flags, const std::string &payload)
{
    std::string frame{'\0', '\0', static_cast<char>(payload.size()), type, flags, '\0', '\0', '\0'};
    frame += type == SettingsFrame ? '\0' : '\001';
    return frame + payload;
}

std::string receiveExactly(Poco::Net::StreamSocket &socket, std::size_t size)
{
    std::string bytes(size, '\0');
    std::size_t received = 0;
    while (received < size) {
        const int count = socket.receiveBytes(bytes.data() + received, static_cast<int>(size - received));
        if (count <= 0) {
            return {};
        }
        received += static_cast<std::size_t>(count);
    }
    return bytes;
}

// Reads frames up to the one that ends the call's stream.
void receiveCall(Poco::Net::StreamSocket &socket)
{
    receiveExactly(socket, PrefaceSize);
    for (;;) {
        const std::string head = receiveExactly(socket, FrameHeadSize);
        if (head.empty()) {
            return;
        }
        const auto length = static_cast<unsigned char>(head[1]) * 256U + static_cast<unsigned char>(head[2]);
        receiveExactly(socket, length);
        if (head[3] == DataFrame && (head[4] & EndStream) != 0) {
            return;
        }
    }
}

// Calls a peer that sends these bytes once the call has arrived, and then ends the connection.
PeerReply callPeerThatSends(const std::string &bytes, ConnectionEnd end)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::thread peer([&] {
        auto socket = listener.acceptConnection();
        const auto settings = makeFrame(SettingsFrame, 0, "");
        socket.sendBytes(settings.data(), static_cast<int>(settings.size()));
        receiveCall(socket);
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        // To close a connection with unread bytes would reset it, so the rest is read first.
        if (end == ConnectionEnd::Reset) {
            socket.setLinger(true, 0);
        } else {
            socket.shutdownSend();
            receiveExactly(socket, 1U << 20U);
        }
    });
    std::promise<PeerReply> reply;
    auto transport = PeerTransport::create("127.0.0.1:0", {}, [](PeerChannel, const std::string &, const PeerTransport::Responder &) {});
    CPPUNIT_ASSERT(transport.isOk());
    transport.value()->call(listener.address().toString(), PeerChannel::Dispatch, "call", 2s, [&reply](PeerReply received) {
        reply.set_value(std::move(received));
    });
    auto received = reply.get_future().get();
    transport.value().reset();
    peer.join();
    return received;
}

} // namespace

class TestPeerAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPeerAnswers);
    CPPUNIT_TEST(responseThatIsCutOffIsNoAnswer);
    CPPUNIT_TEST(wholeResponseIsAnAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void responseThatIsCutOffIsNoAnswer()
    {
        const auto head = makeFrame(HeadersFrame, EndHeaders, Status200);
        const auto part = makeFrame(DataFrame, 0, "abc");
        const auto last = makeFrame(DataFrame, EndStream, "def");
        const std::vector<std::string> responses{
            "",
            head,
            head + part,
            head + part + last.substr(0, last.size() - 1),
            makeFrame(HeadersFrame, EndHeaders, Status500) + last,
            // Shorter than its head announces.
            makeFrame(HeadersFrame, EndHeaders, Status200 + Length5) + last,
        };
        for (const auto &response : responses) {
            for (const auto end : {ConnectionEnd::Orderly, ConnectionEnd::Reset}) {
                const auto reply = callPeerThatSends(response, end);
                CPPUNIT_ASSERT_MESSAGE(response, !reply.body_ && reply.wasSent_);
            }
        }
    }

    void wholeResponseIsAnAnswer()
    {
        const auto response = makeFrame(HeadersFrame, EndHeaders, Status200) + makeFrame(DataFrame, 0, "abc") + makeFrame(DataFrame, EndStream, "def");
        const auto reply = callPeerThatSends(response, ConnectionEnd::Orderly);
        CPPUNIT_ASSERT(reply.body_ == std::optional<std::string>("abcdef"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerAnswers);
