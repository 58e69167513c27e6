// HTTP requests and responses as forwarded between callers and backend servers.
#pragma once

#include <LibBase/LibBase.h>

#include <string>
#include <vector>

namespace Goldcrestwall {

// An HTTP header field.
struct HeaderField
{
    std::string name_;
    std::string value_;

    auto operator<=>(const HeaderField &) const = default;
    MSGPACK_DEFINE(name_, value_)
};

// A request to a backend server.
struct HttpRequestContent
{
    std::string method_;
    // The path with its query, as sent to the backend server.
    std::string path_;
    std::vector<HeaderField> headers_;
    std::string body_;

    auto operator<=>(const HttpRequestContent &) const = default;
    MSGPACK_DEFINE(method_, path_, headers_, body_)
};

// A complete response of a backend server.
struct HttpResponseContent
{
    int status_ = 0;
    std::vector<HeaderField> headers_;
    std::string body_;

    auto operator<=>(const HttpResponseContent &) const = default;
    MSGPACK_DEFINE(status_, headers_, body_)
};

// Whether a header field applies to one connection only and is not forwarded (RFC 9110, section 7.6.1).
bool isHopByHopHeader(const std::string &name);

// Whether a header field belongs to the router's protocol; such fields are not forwarded.
bool isRouterHeader(const std::string &name);

} // namespace Goldcrestwall
