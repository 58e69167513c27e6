// Compares what the servers of the sharded service hold.
#include "OwnerWatch.h"

#include "Callers.h"

namespace Goldcrestwall::OnPlatform {

namespace {

constexpr auto CheckInterval = std::chrono::milliseconds(5);
constexpr std::uint32_t KeyStep = 4096;
constexpr std::size_t ShardedServerCount = 4;

} // namespace

OwnerWatch::OwnerWatch(Deployment &deployment)
    : deployment_(deployment)
    , thread_([this] {
        while (!isStopped_) {
            look();
            std::this_thread::sleep_for(CheckInterval);
        }
    })
{
}

OwnerWatch::~OwnerWatch()
{
    stop();
}

void OwnerWatch::stop()
{
    isStopped_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

void OwnerWatch::look()
{
    for (std::uint32_t key = 0; key < KeyCount; key += KeyStep) {
        for (std::size_t first = 0; first < ShardedServerCount; ++first) {
            for (std::size_t second = first + 1; second < ShardedServerCount; ++second) {
                // The first is looked at once more, as the key may change hands in between.
                const bool isHeldTwice =
                    deployment_.sharded(first).holds(key) && deployment_.sharded(second).holds(key) && deployment_.sharded(first).holds(key);
                if (isHeldTwice && finding_.empty()) {
                    finding_ = "key " + std::to_string(key) + " is held by s-" + std::to_string(first) + " and s-" + std::to_string(second);
                }
            }
        }
    }
}

} // namespace Goldcrestwall::OnPlatform
