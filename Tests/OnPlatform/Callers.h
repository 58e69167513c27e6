// Test callers of a deployment: single requests, raw connections, background load, and checks of the responses.
#pragma once

#include "Deployment.h"

#include <mutex>
#include <thread>

namespace Goldcrestwall::OnPlatform {

// A non-idempotent request.
CallerRequest makeBooking();
// A request to the sharded service.
CallerRequest makeKeyed(std::uint32_t key);
// The number of keys of the sharded service.
constexpr std::uint32_t KeyCount = 65536;
// Returns the lowest key that a server of the sharded service holds; the test fails if it holds none.
std::uint32_t keyHeldBy(Deployment &deployment, std::size_t sharded);

// A TCP connection that sends bytes unchanged.
class RawConnection
{
public:
    // If nothing listens at the port, `isOpen` returns false.
    explicit RawConnection(std::uint16_t port);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    bool isOpen() const
    {
        return descriptor_ >= 0;
    }
    void send(const std::string &bytes) const;
    // Returns everything received until the peer closes the connection; ends with "(no end)" if it does not close within the receive
    // timeout.
    std::string receiveAll() const;
    // What has been received by now, without waiting.
    struct Received
    {
        std::string bytes_;
        bool isClosed_ = false;
    };
    Received receiveNow() const;
    void close();

private:
    int descriptor_ = -1;
};

// Sends bytes to an instance and returns everything received until it closes the connection.
std::string sendAndReceiveAll(std::uint16_t port, const std::string &bytes);

// Callers that send requests back to back until they are stopped.
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

// A response and how long the caller waited for it.
struct TimedAnswer
{
    CallerAnswer answer_;
    Duration waited_;
};

TimedAnswer callTimed(Deployment &deployment, const CallerRequest &request);
// Makes the call from so many callers at the same time that each server is needed.
std::vector<TimedAnswer> callConcurrently(Deployment &deployment, const CallerRequest &request);
// Checks that a call was answered with this status, and long before its time limit of 2 s. `label` names the call in a failure.
void checkAnswer(const Deployment &deployment, const std::string &label, int expected, const TimedAnswer &timed);
// Compares the responses to bookings with the runs that servers recorded: a booking runs at most once, exactly once after a 200, and never
// after a 429 or 503. Returns what is said of each other booking.
std::vector<std::string> findWrongBookings(Deployment &deployment, const std::vector<CallerAnswer> &bookings);
// Checks that there are no wrong bookings.
void checkBookings(Deployment &deployment, const std::vector<CallerAnswer> &bookings);
// Returns the status of an answer and the log lines of its request.
std::string explain(const Deployment &deployment, const CallerAnswer &answer);
// Checks that no server has recorded a violation.
void checkNoViolations(Deployment &deployment);

} // namespace Goldcrestwall::OnPlatform
