// A fake backend server in logical time.
#pragma once

#include <LibRouter/LibRouter.h>
#include <Tests/Harness/EventQueue.h>

#include <set>

namespace Goldcrestwall {

// The nature of a fake server.
struct FakeServerOptions
{
    std::uint32_t slots_ = 2;
    std::uint32_t coldSlots_ = 1;
    // How many requests it serves before it is warm.
    std::uint32_t warmupRequests_ = 12;
    Duration serviceTime_ = 5ms;
    bool checksTokens_ = true;
};

// A request as the server receives it.
struct ServerRequest
{
    RequestId id_;
    std::string key_;
    FencingToken token_ = 0;
    // The boot that the connection was made to.
    std::string bootId_;
    UnixMilliseconds deadline_ = 0;
    std::uint64_t correlation_ = 0;
};

// The server's answer to one request.
struct ServerAnswer
{
    AttemptResult result_ = AttemptResult::Lost;
    ServerContact contact_;
    std::string content_;
};

// One execution that took effect.
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

// Runs requests with a random service time. It honours deadlines when it begins and when it commits, as the platform says backend
// servers do; one that checks tokens also compares those.
class FakeServer
{
public:
    FakeServer(EventQueue &events, ServerId id, FakeServerOptions options, std::vector<Run> &runs);

    using Respond = std::function<void(const ServerAnswer &answer)>;

    // A request arrives. The answer may never come.
    void handle(const ServerRequest &request, Respond respond);
    // A grant or probe arrives; answers whether the token is accepted and how much runs.
    void contact(std::optional<FencingToken> token, std::function<void(bool isAccepted, std::uint32_t running, const ServerContact &contact)> respond);
    void cancel(std::uint64_t correlation);

    void kill();
    void restart();
    void setFrozen(bool isFrozen);
    void setDraining(bool isDraining)
    {
        isDraining_ = isDraining;
    }
    // Multiplies the service time.
    void setSlowdownFactor(double factor)
    {
        slowdownFactor_ = factor;
    }

    bool isDead() const
    {
        return isDead_;
    }
    bool isFrozen() const
    {
        return isFrozen_;
    }
    const ServerId &id() const
    {
        return id_;
    }
    // How often a cold server got more than it bears.
    std::uint32_t overloadCount() const
    {
        return collapses_;
    }
    std::uint64_t served() const
    {
        return servedTotal_;
    }
    // Busy time summed over slots.
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
    bool isFrozen_ = false;
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
    std::vector<std::function<void()>> frozenArrivals_;
    std::set<std::uint64_t> frozenFinishes_;
};

// The civil time of the harness: the logical time in milliseconds after an arbitrary date.
UnixMilliseconds wallClockTime(TimePoint time);

} // namespace Goldcrestwall
