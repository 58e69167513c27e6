// Tests of router processes with servers that name the rate of requests that they accept from all instances together.
#include "Callers.h"
#include "FixedCoordinator.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

// Longer than the time after which the limit binds and the window over which it is counted.
constexpr auto LimitedTime = 9s;
// Callers return after this time at most, although they were told a later one.
constexpr double MaxReturnSeconds = 0.3;

// Callers of one request that send it again and again, and wait as told after a rejection.
class Callers
{
public:
    // Starts `perInstance` callers at each instance.
    Callers(Deployment &deployment, CallerRequest request, int perInstance)
    {
        for (std::size_t instance = 0; instance < deployment.instanceCount(); ++instance) {
            for (int i = 0; i < perInstance; ++i) {
                threads_.emplace_back([this, &deployment, instance, request] {
                    run(deployment, instance, request);
                });
            }
        }
    }
    ~Callers()
    {
        stop();
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void stop()
    {
        isStopped_ = true;
        for (auto &thread : threads_) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }
    std::map<int, std::size_t> statuses() const
    {
        const std::lock_guard lock(mutex_);
        return statuses_;
    }
    // Whether each rejection said when to return.
    bool areAllToldWhenToReturn() const
    {
        return !isLeftWithoutTime_;
    }

private:
    void run(Deployment &deployment, std::size_t instance, const CallerRequest &request)
    {
        while (!isStopped_) {
            const auto answer = deployment.call(instance, request);
            {
                const std::lock_guard lock(mutex_);
                ++statuses_[answer.status_];
            }
            if (answer.status_ == 503) {
                isLeftWithoutTime_ = isLeftWithoutTime_ || !answer.hasRetryAfter_;
                std::this_thread::sleep_for(std::chrono::duration<double>(std::min(answer.retryAfterSeconds_, MaxReturnSeconds)));
            }
        }
    }

    std::atomic<bool> isStopped_ = false;
    std::atomic<bool> isLeftWithoutTime_ = false;
    mutable std::mutex mutex_;
    std::map<int, std::size_t> statuses_;
    std::vector<std::thread> threads_;
};

std::uint32_t keyHeldBy(Deployment &deployment, std::size_t sharded)
{
    std::uint32_t key = 0;
    while (!deployment.sharded(sharded).holds(key)) {
        ++key;
    }
    return key;
}

} // namespace

class TestLimitedServers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLimitedServers);
    CPPUNIT_TEST(holderOfABusyKeyGetsNoMoreThanItsLimit);
    CPPUNIT_TEST(serverWithoutKeysGetsNoMoreThanItsLimit);
    CPPUNIT_TEST(coordinatorThatDoesNotKnowTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void holderOfABusyKeyGetsNoMoreThanItsLimit()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto key = keyHeldBy(deployment, 0);
        Callers callers(deployment, makeKeyed(key), 2);
        deployment.sharded(0).setLimit("2");
        std::this_thread::sleep_for(LimitedTime);
        callers.stop();
        checkNoViolations(deployment);
        CPPUNIT_ASSERT(callers.statuses()[200] > 0);
        CPPUNIT_ASSERT(callers.areAllToldWhenToReturn());
    }

    void serverWithoutKeysGetsNoMoreThanItsLimit()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        Callers callers(deployment, CallerRequest(), 4);
        deployment.plain(0).setLimit("1.5");
        std::this_thread::sleep_for(LimitedTime);
        callers.stop();
        checkNoViolations(deployment);
        // The other servers serve everything.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), callers.statuses().size());
        CPPUNIT_ASSERT(callers.statuses()[200] > 0);
    }

    void coordinatorThatDoesNotKnowTheLimit()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const FixedCoordinator coordinator(deployment, "plain", deployment.plain(0));
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.call(0, CallerRequest()).status_ == 200 && deployment.call(1, CallerRequest()).status_ == 200 && coordinator.placementCount() > 1;
        }));
        deployment.plain(0).setLimit("1");
        Callers callers(deployment, CallerRequest(), 3);
        std::this_thread::sleep_for(LimitedTime);
        callers.stop();
        checkNoViolations(deployment);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), callers.statuses().size());
        CPPUNIT_ASSERT(callers.statuses()[200] > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLimitedServers);
