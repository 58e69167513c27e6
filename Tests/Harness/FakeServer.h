// A fake backend server in simulated time.
#pragma once

#include <LibRouter/LibRouter.h>
#include <Tests/Harness/EventQueue.h>

#include <set>

namespace Goldcrestwall {

// The parameters of a fake server.
struct FakeServerOptions
{
    std::uint32_t slots_ = 2;
    std::uint32_t coldSlots_ = 1;
    // The number of requests after which the server is warm.
    std::uint32_t warmupRequests_ = 12;
    Duration serviceTime_ = 5ms;
    bool checksTokens_ = true;
};

// A request as received by the server.
struct ServerRequest
{
    RequestId id_;
    std::string key_;
    FencingToken token_ = 0;
    // The boot of the server to which the connection was opened.
    std::string bootId_;
    UnixMilliseconds deadline_ = 0;
    std::uint64_t correlation_ = 0;
};

// The server's response to one request.
struct ServerAnswer
{
    AttemptResult result_ = AttemptResult::Lost;
    ServerContact contact_;
    std::string content_;
};

// One execution of a request that took effect.
struct Run
{
    ServerId server_;
    RequestId id_;
    std::string key_;
    FencingToken token_ = 0;
    TimePoint startedAt_;
    TimePoint endedAt_;
    std::string content_;
};

// Runs requests with a random service time. It checks the deadline at the start and at the commit, as specified for the platform's
// backend servers. If configured, it checks fencing tokens at the same points.
class FakeServer
{
public:
    FakeServer(EventQueue &events, ServerId id, FakeServerOptions options, std::vector<Run> &runs);

    using Respond = std::function<void(const ServerAnswer &answer)>;

    // Receives a request. `respond` may never be called.
    void handle(const ServerRequest &request, Respond respond);
    // Receives a grant or a probe. Responds whether the token is accepted and how many requests are running.
    void contact(std::optional<FencingToken> token, std::function<void(bool isAccepted, std::uint32_t running, const ServerContact &contact)> respond);
    void cancel(std::uint64_t correlation);

    void kill();
    void restart();
    void setSuspended(bool isSuspended);
    void setDraining(bool isDraining)
    {
        isDraining_ = isDraining;
    }
    // Sets a factor by which the service time is multiplied.
    void setSlowdownFactor(double factor)
    {
        slowdownFactor_ = factor;
    }

    bool isDead() const
    {
        return isDead_;
    }
    bool isSuspended() const
    {
        return isSuspended_;
    }
    const ServerId &id() const
    {
        return id_;
    }
    // How often a cold server got more concurrent requests than its cold slots.
    std::uint32_t overloadCount() const
    {
        return collapses_;
    }
    std::uint64_t served() const
    {
        return servedTotal_;
    }
    // The total busy time of all slots.
    Duration busyTime() const
    {
        return busy_;
    }
    std::uint64_t arrivals() const
    {
        return arrivals_;
    }

private:
    struct Execution
    {
        ServerRequest request_;
        TimePoint startedAt_;
        Duration remaining_;
        Respond respond_;
    };

    void process(const ServerRequest &request, Respond respond);
    void finish(std::uint64_t execution);
    bool isLate(const ServerRequest &request) const;
    ServerContact describe() const;

    EventQueue &events_;
    ServerId id_;
    FakeServerOptions options_;
    std::vector<Run> &runs_;
    bool isDead_ = false;
    bool isSuspended_ = false;
    bool isDraining_ = false;
    double slowdownFactor_ = 1;
    std::uint64_t boot_ = 1;
    FencingToken highestToken_ = 0;
    std::uint32_t served_ = 0;
    std::uint64_t servedTotal_ = 0;
    std::uint64_t arrivals_ = 0;
    std::uint32_t collapses_ = 0;
    Duration busy_{};
    std::uint64_t lastExecution_ = 0;
    std::map<std::uint64_t, Execution> executions_;
    std::vector<std::function<void()>> deferredArrivals_;
    std::set<std::uint64_t> deferredFinishes_;
};

// The wall-clock time of the simulation: the simulated time in milliseconds after an arbitrary date.
UnixMilliseconds wallClockTime(TimePoint time);

} // namespace Goldcrestwall
