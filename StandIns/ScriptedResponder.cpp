// Implements the server that sends given bytes.
#include "ScriptedResponder.h"

#include <Poco/Net/StreamSocket.h>

namespace Goldcrestwall {

namespace {

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

// Reads a request with its body, since bytes that are left unread would reset the connection at its end.
void receiveRequest(Poco::Net::StreamSocket &socket)
{
    std::string head;
    while (!head.ends_with("\r\n\r\n") && receiveByte(socket, head)) { }
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
    auto socket = listener_.acceptConnection();
    for (const auto &response : responses_) {
        receiveRequest(socket);
        socket.sendBytes(response.data(), static_cast<int>(response.size()));
    }
    if (end_ == ConnectionEnd::Reset) {
        socket.setLinger(true, 0);
    }
}

} // namespace Goldcrestwall
