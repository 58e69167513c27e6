// A TCP proxy on loopback that simulates faults of the network between two processes.
#pragma once

#include <LibBase/LibBase.h>

#include <cstddef>
#include <memory>
#include <string>

namespace Goldcrestwall {

// Which way bytes pass through a proxy.
enum class ProxyDirection {
    ToTarget,
    FromTarget,
    Both,
};

// Accepts connections at an address of its own and passes their bytes on to a target, and back. Runs a thread of its own. Thread-safe.
//
// A peer's system acknowledges all bytes that reach the proxy, so neither end notices a fault by TCP itself.
class LoopbackProxy
{
public:
    // `targetAddress` is an IP address and a port. Connections are made when callers come, so the target need not listen yet.
    explicit LoopbackProxy(const std::string &targetAddress);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    // The IP address and port that it listens at.
    std::string address() const;
    // The connections that are open now stay open, but from now on nothing passes on them in this direction, for good. New ones work.
    void silenceOpenConnections(ProxyDirection direction = ProxyDirection::Both);
    // As `hold`, but for the connections that are open now; new ones work.
    void holdOpenConnections(ProxyDirection direction = ProxyDirection::Both);
    // Holds back all bytes of all connections, also new ones, in this direction until `resume` passes them on.
    void hold(ProxyDirection direction = ProxyDirection::Both);
    void resume();
    // From now on each part of the bytes is passed on with this delay, in each direction.
    void setDelay(Duration delay);
    // Resets the connections that are open now. New ones work.
    void resetOpenConnections();
    // From now on new connections are reset at once; no longer if `isRefusing` is false.
    void setRefusing(bool isRefusing);
    // Connections that are open at present, silent ones included.
    std::size_t openConnectionCount() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace Goldcrestwall
