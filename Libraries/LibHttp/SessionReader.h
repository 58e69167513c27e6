// Reads a response from a session of POCO, whole or not at all.
#pragma once

#include <LibHttp/Asio.h>

#include <Poco/Net/HTTPClientSession.h>

#include <istream>
#include <optional>
#include <string>
#include <string_view>

namespace Goldcrestwall::Gateway {

// Whether a response to this request may have a body.
enum class ExpectedBody {
    Any,
    // The request's method is HEAD.
    None,
};

// Reads the response to the request that has been sent last. POCO checks neither a head nor where a body ends: its streams end without an error when a
// body is cut off. So its session only brings the bytes here, and they are parsed and checked as by HttpClient.
//
// Both functions throw a Poco::Exception if the connection fails, if the response violates the protocol or is cut off, or if it exceeds a limit.
class SessionReader
{
public:
    // The session must outlive the reader. `maxBody` is the longest body in bytes.
    SessionReader(Poco::Net::HTTPClientSession &session, ExpectedBody expected, std::uint64_t maxBody);

    // Reads up to the end of the head of the final response; interim responses are skipped.
    void readHead();
    // Reads the body. Must be called after `readHead`, at most once.
    void readBody();

    // What has been read: the head, and after `readBody` the body.
    const HttpResponse &response() const
    {
        return parser_->get();
    }
    // The length of the body by the head, if that announces one.
    std::optional<std::uint64_t> announcedBodyLength() const
    {
        return announcedLength(*parser_);
    }
    // Whether the connection may carry another request: the response is whole, nothing follows it, and the server keeps the connection open.
    bool isReusable() const;

private:
    class Head;

    // Parses the head of one response, interim or final. Returns its status.
    unsigned parseHead(std::string_view head);
    // Receives the next bytes of the body; returns false at the end of the connection.
    bool receive();
    void parseReceived();

    Poco::Net::HTTPClientSession &session_;
    ExpectedBody expected_;
    std::uint64_t maxBody_;
    int interimResponses_ = 0;
    // Null before the first head.
    std::optional<http::response_parser<http::string_body>> parser_;
    // The rest of the connection's bytes, as they are.
    std::istream *input_ = nullptr;
    // Received and not parsed.
    std::string unparsed_;
};

} // namespace Goldcrestwall::Gateway
