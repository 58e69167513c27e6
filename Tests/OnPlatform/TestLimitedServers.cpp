// Tests of router processes with servers that name the rate of requests that they accept from all instances together.
#include "Callers.h"
#include "FixedCoordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

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
    Callers(Deployment &deployment, const CallerRequest &request, int perInstance)
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
            if (answer.status_ == 0) {
                // The instance is gone.
                std::this_thread::sleep_for(50ms);
            } else if (answer.status_ == 503) {
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

} // namespace

class TestLimitedServers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLimitedServers);
    CPPUNIT_TEST(holderOfABusyKeyGetsNoMoreThanItsLimit);
    CPPUNIT_TEST(serverWithoutKeysGetsNoMoreThanItsLimit);
    CPPUNIT_TEST(coordinatorThatDoesNotKnowTheLimit);
    CPPUNIT_TEST(coordinatorIsKilledWhileALimitHolds);
    CPPUNIT_TEST(coordinatorIsFrozenWhileALimitHolds);
    CPPUNIT_TEST(limitFallsToATenth);
    CPPUNIT_TEST(limitOfZero);
    CPPUNIT_TEST(serverIsUsedFullyWhenItsLimitEnds);
    CPPUNIT_TEST(keysMoveOffALimitedHolder);
    CPPUNIT_TEST(newRunOfALimitedServerIsUsed);
    CPPUNIT_TEST(unreadableLimitsAreIgnored);
    CPPUNIT_TEST(rejectionForALimitIsExplained);
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

    void coordinatorIsKilledWhileALimitHolds()
    {
        checkLossOfCoordinator([](RouterProcess &coordinator) {
            coordinator.signal(SIGKILL);
            coordinator.wait(5s);
            std::this_thread::sleep_for(1s);
            coordinator.start();
        });
    }

    void coordinatorIsFrozenWhileALimitHolds()
    {
        checkLossOfCoordinator([](RouterProcess &coordinator) {
            coordinator.signal(SIGSTOP);
            std::this_thread::sleep_for(3s);
            coordinator.signal(SIGCONT);
        });
    }

    void limitFallsToATenth()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        Callers callers(deployment, CallerRequest(), 3);
        deployment.plain(0).setLimit("20");
        std::this_thread::sleep_for(5s);
        deployment.plain(0).setLimit("2");
        std::this_thread::sleep_for(LimitedTime);
        callers.stop();
        checkNoViolations(deployment);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), callers.statuses().size());
    }

    void limitOfZero()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        Callers callers(deployment, CallerRequest(), 3);
        deployment.plain(0).setLimit("0");
        std::this_thread::sleep_for(LimitedTime);
        checkNoViolations(deployment);
        // The end is noticed although hardly anything is sent.
        deployment.plain(0).setLimit("");
        const auto before = deployment.plain(0).arrivalCount();
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.plain(0).arrivalCount() > before + 20;
        }));
    }

    void serverIsUsedFullyWhenItsLimitEnds()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        Callers callers(deployment, CallerRequest(), 5);
        std::this_thread::sleep_for(1s);
        const auto usual = arrivalsIn(deployment.plain(0), 2s);
        deployment.plain(0).setLimit("3");
        std::this_thread::sleep_for(4s);
        deployment.plain(0).setLimit("");
        std::this_thread::sleep_for(2s);
        const auto again = arrivalsIn(deployment.plain(0), 2s);
        CPPUNIT_ASSERT(again * 2 > usual);
    }

    void keysMoveOffALimitedHolder()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto key = keyHeldBy(deployment, 0);
        deployment.sharded(0).setLimit("1");
        {
            Callers callers(deployment, makeKeyed(key), 2);
            CPPUNIT_ASSERT(Deployment::eventually([&] {
                return !deployment.sharded(0).holds(key) && deployment.call(0, makeKeyed(key)).status_ == 200;
            }));
        }
        Callers callers(deployment, makeKeyed(key), 2);
        std::this_thread::sleep_for(2s);
        callers.stop();
        const auto statuses = callers.statuses();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), statuses.size());
        CPPUNIT_ASSERT_EQUAL(200, statuses.begin()->first);
        checkNoViolations(deployment);
    }

    void newRunOfALimitedServerIsUsed()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        Callers callers(deployment, CallerRequest(), 5);
        deployment.plain(0).setLimit("0.5");
        std::this_thread::sleep_for(2s);
        deployment.plain(0).setLimit("");
        deployment.plain(0).restart();
        deployment.plain(0).registerEntry();
        std::this_thread::sleep_for(1s);
        CPPUNIT_ASSERT(arrivalsIn(deployment.plain(0), 1s) > 10);
    }

    void unreadableLimitsAreIgnored()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (const char *value : {"-1", "few", "99999999999999999999", "1e2"}) {
            deployment.plain(0).setLimit(value);
            Callers callers(deployment, CallerRequest(), 5);
            CPPUNIT_ASSERT(arrivalsIn(deployment.plain(0), 500ms) > 5);
        }
        CPPUNIT_ASSERT(deployment.linesContaining("\"event\":\"server-limit\"").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.linesContaining("\"event\":\"server-announcement-unreadable\"").size());
        CPPUNIT_ASSERT(deployment.instance(0).metrics().find("goldcrestwall_unreadable_announcements_total") != std::string::npos);
    }

    void rejectionForALimitIsExplained()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        deployment.sharded(0).setLimit("0.5");
        CallerAnswer rejected;
        const bool isRejected = Deployment::eventually([&] {
            // The keys with traffic may move off the limited holder before a call is rejected.
            rejected = deployment.call(0, makeKeyed(keyHeldBy(deployment, 0)));
            return rejected.status_ == 503;
        });
        CPPUNIT_ASSERT_MESSAGE(isRejected ? "" : explain(deployment, rejected), isRejected);
        CPPUNIT_ASSERT(rejected.hasRetryAfter_);
        std::vector<std::string> lines;
        // Lines are written a little later.
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            lines = deployment.linesForRequest(rejected.requestId_);
            return !lines.empty();
        }));
        CPPUNIT_ASSERT(lines.back().find("\"reason\":\"server-limit\"") != std::string::npos);
        CPPUNIT_ASSERT(lines.back().find("\"limitedServer\":\"s-0\"") != std::string::npos);
        const auto limits = deployment.linesContaining("\"event\":\"server-limit\"");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), limits.size());
        CPPUNIT_ASSERT(limits.front().find("\"server\":\"s-0\"") != std::string::npos);
        CPPUNIT_ASSERT(limits.front().find("\"from\":\"response\"") != std::string::npos);
    }

private:
    // Lets callers send requests while a server has named a limit and its service loses the coordinator.
    static void checkLossOfCoordinator(const std::function<void(RouterProcess &)> &loseCoordinator)
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        Callers callers(deployment, CallerRequest(), 3);
        deployment.plain(0).setLimit("2");
        std::this_thread::sleep_for(3500ms);
        auto *coordinator = deployment.coordinator("plain");
        CPPUNIT_ASSERT(coordinator != nullptr);
        loseCoordinator(*coordinator);
        std::this_thread::sleep_for(LimitedTime);
        callers.stop();
        checkNoViolations(deployment);
        CPPUNIT_ASSERT(callers.statuses()[200] > 100);
    }

    static std::size_t arrivalsIn(PlatformServerStandIn &server, std::chrono::milliseconds duration)
    {
        const auto before = server.arrivalCount();
        std::this_thread::sleep_for(duration);
        return server.arrivalCount() - before;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLimitedServers);
