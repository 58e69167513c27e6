// Checks the head of a response.
#include "ResponseHead.h"

namespace Goldcrestwall::Gateway {

namespace {

// Other statuses are none of the protocol.
constexpr unsigned LowestStatus = 100;
constexpr unsigned HighestStatus = 599;
constexpr unsigned SwitchingProtocols = 101;

// Whether a response may have this status. A client of ours never asks a server to switch protocols.
bool isStatusOfProtocol(unsigned status)
{
    return status >= LowestStatus && status <= HighestStatus && status != SwitchingProtocols;
}

// Whether the body is as it is or in chunks. The parser takes any other coding for none, and decodes only the chunks of a body that is coded twice.
bool hasReadableCoding(const http::response_header<> &head)
{
    const auto count = head.count(http::field::transfer_encoding);
    return count == 0 || (count == 1 && beast::iequals(head[http::field::transfer_encoding], "chunked"));
}

} // namespace

ErrorCode checkHeadLines(std::string_view lines)
{
    const bool isContinued = lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
    return isContinued ? http::error::bad_obs_fold : ErrorCode();
}

ErrorCode checkResponseHead(const http::response_header<> &head)
{
    if (!isStatusOfProtocol(head.result_int())) {
        return http::error::bad_status;
    }
    if (!hasReadableCoding(head)) {
        return http::error::bad_transfer_encoding;
    }
    return {};
}

} // namespace Goldcrestwall::Gateway
