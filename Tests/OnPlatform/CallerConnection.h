// A caller's connection to a router instance.
#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Poco::Net {
class HTTPClientSession;
}

namespace Goldcrestwall::OnPlatform {

// A caller's request.
struct CallerRequest
{
    std::string method_ = "GET";
    std::string host_ = "plain.example";
    std::string path_ = "/plain/x";
    std::string body_;
    std::optional<std::uint32_t> key_;
    Duration callerTimeout_ = 2s;
    // Empty: each call gets an id of its own.
    std::string requestId_ = {};
};

// The response that a caller receives.
struct CallerAnswer
{
    // 0 if the connection closed without a response.
    int status_ = 0;
    std::string requestId_;
    // The id that the response names.
    std::string namedRequestId_;
    std::string body_;
    bool isSigned_ = false;
    bool hasRetryAfter_ = false;
    double retryAfterSeconds_ = 0;
    bool isConnectionClosed_ = false;
};

// Sends requests one after another over one connection while it stays open, and over a new one after that. Not thread-safe.
class CallerConnection
{
public:
    explicit CallerConnection(std::uint16_t port);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    // Waits at most 5 s for the response.
    CallerAnswer send(const CallerRequest &request, const std::string &requestId);

private:
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

} // namespace Goldcrestwall::OnPlatform
