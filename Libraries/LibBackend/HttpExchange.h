// Requests and answers as they pass between callers and backend servers.
#pragma once

#include <LibBase/LibBase.h>

#include <string>
#include <vector>

namespace Goldcrestwall {

// One header field.
struct HeaderField
{
    std::string name_;
    std::string value_;

    auto operator<=>(const HeaderField &) const = default;
    MSGPACK_DEFINE(name_, value_)
};

// A request for a backend server.
struct HttpRequestContent
{
    std::string method_;
    // The path with its query, as the backend server sees it.
    std::string path_;
    std::vector<HeaderField> headers_;
    std::string body_;

    auto operator<=>(const HttpRequestContent &) const = default;
    MSGPACK_DEFINE(method_, path_, headers_, body_)
};

// A complete answer of a backend server.
struct HttpResponseContent
{
    int status_ = 0;
    std::vector<HeaderField> headers_;
    std::string body_;

    auto operator<=>(const HttpResponseContent &) const = default;
    MSGPACK_DEFINE(status_, headers_, body_)
};

// Whether a header field concerns one connection only and is not passed on (RFC 9110, section 7.6.1).
bool isHopByHopHeader(const std::string &name);

// Whether a header field belongs to the router's own protocol.
bool isRouterHeader(const std::string &name);

} // namespace Goldcrestwall
