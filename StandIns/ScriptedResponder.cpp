// Implements the server that sends given bytes.
#include "ScriptedResponder.h"

namespace Goldcrestwall {

namespace {

// Long enough for an upload to fill the buffers of the connection.
constexpr auto UploadCutDelay = std::chrono::milliseconds(30);
// A client that neither connects nor goes on within this time has failed, and the test must not wait for it. In seconds.
constexpr long MaxClientWait = 30;

// Reads one byte; returns false at the end of the connection.
bool receiveByte(Poco::Net::StreamSocket &socket, std::string &received)
{
    char byte = 0;
    if (socket.receiveBytes(&byte, 1) != 1) {
        return false;
    }
    received += byte;
    return true;
}

std::string receiveHead(Poco::Net::StreamSocket &socket)
{
    std::string head;
    while (!head.ends_with("\r\n\r\n") && receiveByte(socket, head)) { }
    return head;
}

// Reads the body of a request, since bytes that are left unread would reset the connection at its end.
void receiveBody(Poco::Net::StreamSocket &socket, const std::string &head)
{
    const std::string lengthField = "Content-Length: ";
    const auto field = head.find(lengthField);
    const std::size_t length = field == std::string::npos ? 0 : std::stoul(head.substr(field + lengthField.size()));
    std::string body;
    while (body.size() < length && receiveByte(socket, body)) { }
}

} // namespace

ScriptedResponder::ScriptedResponder(std::vector<std::string> responses, ConnectionEnd end)
    : responses_(std::move(responses))
    , end_(end)
    , listener_(Poco::Net::SocketAddress("127.0.0.1", 0))
    , thread_([this] {
        run();
    })
{
}

ScriptedResponder::~ScriptedResponder()
{
    thread_.join();
}

void ScriptedResponder::run()
{
    const Poco::Timespan maxWait(MaxClientWait, 0);
    if (!listener_.poll(maxWait, Poco::Net::Socket::SELECT_READ)) {
        return;
    }
    auto socket = listener_.acceptConnection();
    socket.setReceiveTimeout(maxWait);
    try {
        for (std::size_t i = 0; i < responses_.size(); ++i) {
            respond(socket, responses_[i], i + 1 == responses_.size());
        }
    } catch (const Poco::Exception &) {
        // The client has reset the connection or is silent.
    }
    if (end_ != ConnectionEnd::Orderly) {
        socket.setLinger(true, 0);
    }
}

void ScriptedResponder::respond(Poco::Net::StreamSocket &socket, const std::string &response, bool isLast) const
{
    const auto head = receiveHead(socket);
    const bool isEarly = isLast && end_ == ConnectionEnd::ResetDuringUpload;
    if (!isEarly) {
        receiveBody(socket, head);
    }
    socket.sendBytes(response.data(), static_cast<int>(response.size()));
    if (isEarly) {
        std::this_thread::sleep_for(UploadCutDelay);
    }
}

} // namespace Goldcrestwall
