// Callers that send requests of all kinds to all instances of a deployment and record what they saw.
#pragma once

#include "PlayRecord.h"

#include <Tests/OnPlatform/Deployment.h>

#include <mutex>
#include <thread>

namespace Goldcrestwall::Soak {

enum class CallKind {
    Plain,
    Booking,
    Keyed,
    // A request to one of the routes that change.
    Changing,
};

struct CallRecord
{
    CallKind kind_ = CallKind::Plain;
    std::size_t instance_ = 0;
    // The route that changes, if the kind is one.
    std::size_t route_ = 0;
    std::uint32_t key_ = 0;
    std::string path_;
    TimePoint sentAt_;
    TimePoint endedAt_;
    OnPlatform::CallerAnswer answer_;
};

// Runs a thread for each instance and kind of request until it is stopped. Each thread keeps using its connection while that is open.
class SoakCallers
{
public:
    explicit SoakCallers(OnPlatform::Deployment &deployment);
    ~SoakCallers();
    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    void stop();
    // The calls in the order of their ends. Only after `stop`.
    const std::vector<CallRecord> &calls() const
    {
        return calls_;
    }

private:
    void run(std::size_t instance, CallKind kind);

    OnPlatform::Deployment &deployment_;
    std::atomic<bool> isStopped_ = false;
    std::mutex mutex_;
    std::vector<CallRecord> calls_;
    std::vector<std::thread> threads_;
};

} // namespace Goldcrestwall::Soak
