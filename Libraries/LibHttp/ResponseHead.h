// What the head of a response must be, beyond what the parser checks.
#pragma once

#include <LibHttp/Asio.h>

namespace Goldcrestwall::Gateway {

// Checks the parsed head of a response. Errors: bad_status if the status is none that a request of ours can have, bad_transfer_encoding if the body
// is in another coding than chunks, so that it cannot be read (RFC 9112, section 6.1).
ErrorCode checkResponseHead(const http::response_header<> &head);

} // namespace Goldcrestwall::Gateway
