// Callers of a deployment: what they send, a crowd of them, and what must hold for what they were told.
#pragma once

#include "Deployment.h"

#include <mutex>
#include <thread>

namespace Goldcrestwall::OnPlatform {

// A request that must not run twice.
CallerRequest makeBooking();
// A request of the sharded service.
CallerRequest makeKeyed(std::uint32_t key);

// One connection on which bytes are sent as they are.
class RawConnection
{
public:
    // Tells by `isOpen` when nothing listens at the port.
    explicit RawConnection(std::uint16_t port);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    bool isOpen() const
    {
        return descriptor_ >= 0;
    }
    void send(const std::string &bytes) const;
    // All that comes until the other side closes; ends with "(no end)" where it does not.
    std::string receiveAll() const;
    void close();

private:
    int descriptor_ = -1;
};

// Sends bytes to an instance and returns all that comes back until it closes the connection.
std::string sendAndReceiveAll(std::uint16_t port, const std::string &bytes);

// Callers that ask one request after another until they are stopped.
class Load
{
public:
    Load(Deployment &deployment, const std::vector<std::size_t> &instances);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    void stop();
    std::map<int, std::size_t> statuses() const;
    std::vector<CallerAnswer> bookings() const;

private:
    void run(Deployment &deployment, std::size_t instance, int kind);

    std::atomic<bool> isStopped_ = false;
    mutable std::mutex mutex_;
    std::map<int, std::size_t> statuses_;
    std::vector<CallerAnswer> bookings_;
    std::vector<std::thread> callers_;
};

// What callers were told of their bookings must agree with what ran.
void checkBookings(Deployment &deployment, const std::vector<CallerAnswer> &bookings);
// No server has seen anything that must not happen.
void checkNoViolations(Deployment &deployment);

} // namespace Goldcrestwall::OnPlatform
