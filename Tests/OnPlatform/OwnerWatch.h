// Watches the servers of the sharded service of a deployment.
#pragma once

#include "Deployment.h"

#include <thread>

namespace Goldcrestwall::OnPlatform {

// Looks all the time whether two servers hold the same key.
class OwnerWatch
{
public:
    explicit OwnerWatch(Deployment &deployment);
    ~OwnerWatch();
    OwnerWatch(const OwnerWatch &) = delete;
    OwnerWatch &operator=(const OwnerWatch &) = delete;

    void stop();
    // Empty if no key was held twice. Call `stop` before.
    const std::string &finding() const
    {
        return finding_;
    }

private:
    void look();

    Deployment &deployment_;
    std::string finding_;
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

} // namespace Goldcrestwall::OnPlatform
