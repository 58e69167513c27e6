// Checks of a response's head that the parser does not make.
#pragma once

#include <LibHttp/Asio.h>

#include <string_view>

namespace Goldcrestwall::Gateway {

// Checks the parsed head of a response. Errors: bad_status if the status is none that a response to a client of ours can have,
// bad_transfer_encoding if the body is in another coding than chunks, so that it cannot be read (RFC 9112, section 6.1).
ErrorCode checkResponseHead(const http::response_header<> &head);

// Checks one or more whole lines of a head, as received. Errors: bad_obs_fold if a line begins with a blank or a tab. The parser joins such a line
// to the field before it, so that a field whose name follows a blank vanishes; RFC 9112, section 5.2, lets a proxy reject the response.
ErrorCode checkHeadLines(std::string_view lines);

} // namespace Goldcrestwall::Gateway
