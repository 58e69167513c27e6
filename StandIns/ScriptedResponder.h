// A server that sends given bytes, for tests of clients that get broken responses.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <string>
#include <thread>
#include <vector>

namespace Goldcrestwall {

// How a server ends its connection.
enum class ConnectionEnd {
    Orderly,
    Reset,
    // Responds once the head of the last request has been read, and resets the connection soon after, while the body is still being sent.
    ResetDuringUpload,
};

// Accepts one connection, sends one of the responses for each request, in order, and then ends the connection.
class ScriptedResponder
{
public:
    ScriptedResponder(std::vector<std::string> responses, ConnectionEnd end = ConnectionEnd::Orderly);
    // Waits until the connection has ended, or has been silent for half a minute.
    ~ScriptedResponder();
    ScriptedResponder(const ScriptedResponder &) = delete;
    ScriptedResponder &operator=(const ScriptedResponder &) = delete;

    std::string address() const
    {
        return listener_.address().toString();
    }

private:
    void run();
    void respond(Poco::Net::StreamSocket &socket, const std::string &response, bool isLast) const;

    std::vector<std::string> responses_;
    ConnectionEnd end_;
    Poco::Net::ServerSocket listener_;
    std::thread thread_;
};

} // namespace Goldcrestwall
