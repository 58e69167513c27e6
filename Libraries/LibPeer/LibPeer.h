// Public header of LibPeer: messages between instances over HTTP/2 streams.
#pragma once

#include <LibPeer/PeerMessages.h>
#include <LibPeer/PeerTransport.h>
