// How an instance learnt something about a backend server.
#pragma once

namespace Goldcrestwall::Gateway {

// How an instance learnt something about a server.
enum class NoticeSource {
    // From its own watch of the store.
    Watch,
    // From a complete read of the store.
    Read,
    // From another instance.
    Peer,
    // From a response of the server.
    Response,
};

const char *noticeSourceName(NoticeSource source);

} // namespace Goldcrestwall::Gateway
