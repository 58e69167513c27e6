// Tests of router processes whose open connections pass nothing any more while new ones work.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

constexpr std::size_t PlainServers = 4;
// Within this time after the store has acknowledged a configuration it has to be in force.
constexpr Duration ConfigurationBound = 2s;
// Later than this after the store has acknowledged that a server is leaving, no request may reach it.
constexpr Duration LeavingBound = 2s;
// From the fault to the change, so that the fault is there before.
constexpr auto TimeBeforeChange = std::chrono::milliseconds(300);

// A route that the first configuration does not have.
const char *const AddedRoute = R"({"resourceType":"routes","metadata":{"name":"r-added"},"spec":{"host":"added.example","prefix":"/",)"
                               R"("kind":"idempotent","timeoutS":2,"aimS":0.3,"priority":1,"service":"plain","maxAttempts":2}},)";

CallerRequest makeRequestForAddedRoute()
{
    CallerRequest request;
    request.host_ = "added.example";
    request.path_ = "/x";
    return request;
}

} // namespace

class TestSilentConnections : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSilentConnections);
    CPPUNIT_TEST(configurationIsInForceDespiteASilentWatch);
    CPPUNIT_TEST(configurationIsInForceDespiteSilentWatchesEverywhere);
    CPPUNIT_TEST(unknownRouteIsNoVerdictWhileTheViewIsUnconfirmed);
    CPPUNIT_TEST(slowStoreIsNotReadCompletelyAgain);
    CPPUNIT_TEST(drainingServerGetsNothingDespiteSilentWatches);
    CPPUNIT_TEST(removedServersGetNothingDespiteSilentWatches);
    CPPUNIT_TEST(leavingServerGetsNothingWhenRequestsToTheStoreAreSilent);
    CPPUNIT_TEST(leavingServerGetsNothingWhenResponsesOfTheStoreAreSilent);
    CPPUNIT_TEST(leavingServerGetsNothingWhenConnectionsFallSilentAgainAndAgain);
    CPPUNIT_TEST(leavingServerGetsNothingOnConnectionsToItThatFellSilent);
    CPPUNIT_TEST_SUITE_END();

public:
    void configurationIsInForceDespiteASilentWatch()
    {
        checkAddedRoute(1);
    }

    void configurationIsInForceDespiteSilentWatchesEverywhere()
    {
        checkAddedRoute(4);
    }

    // Guards against 404 for a route that the store has, while renewals of the leases are all that the store responds to.
    void unknownRouteIsNoVerdictWhileTheViewIsUnconfirmed()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        deployment.store().setFault(PlatformStoreFault::IgnoresReads);
        deployment.putConfiguration(AddedRoute);
        std::this_thread::sleep_for(ConfigurationBound);
        for (int i = 0; i < 20; ++i) {
            for (std::size_t instance = 0; instance < deployment.instanceCount(); ++instance) {
                CPPUNIT_ASSERT_EQUAL(503, deployment.call(instance, makeRequestForAddedRoute()).status_);
                CPPUNIT_ASSERT_EQUAL(200, deployment.call(instance, CallerRequest()).status_);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        deployment.store().setFault(PlatformStoreFault::None);
        CPPUNIT_ASSERT(deployment.awaitServing());
        checkNoViolations(deployment);
    }

    // Guards against complete reads by all instances of a store whose responses only come late.
    void slowStoreIsNotReadCompletelyAgain()
    {
        constexpr Duration Delay = 240ms;
        Deployment deployment(4, DeploymentNetwork::Proxies);
        CPPUNIT_ASSERT(deployment.awaitServing());
        std::this_thread::sleep_for(std::chrono::seconds(1));
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
            deployment.storeProxy(i).setDelay(Delay);
        }
        std::this_thread::sleep_for(std::chrono::seconds(3));
        const auto readsBefore = deployment.linesContaining("store-loaded").size();
        std::this_thread::sleep_for(std::chrono::seconds(6));
        const auto reads = deployment.linesContaining("store-loaded");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(reads.back(), readsBefore, reads.size());
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
            CPPUNIT_ASSERT_EQUAL(404, deployment.call(i, makeRequestForAddedRoute()).status_);
        }
        checkNoViolations(deployment);
    }

    void drainingServerGetsNothingDespiteSilentWatches()
    {
        checkLeaving(4, {"p-1"}, LeavingSign::Draining, [](Deployment &deployment) {
            silenceStore(deployment, ProxyDirection::Both);
        });
    }

    void removedServersGetNothingDespiteSilentWatches()
    {
        checkLeaving(4, {"p-1", "p-2"}, LeavingSign::Removed, [](Deployment &deployment) {
            silenceStore(deployment, ProxyDirection::Both);
        });
    }

    void leavingServerGetsNothingWhenRequestsToTheStoreAreSilent()
    {
        checkLeaving(2, {"p-1"}, LeavingSign::Removed, [](Deployment &deployment) {
            silenceStore(deployment, ProxyDirection::ToTarget);
        });
    }

    void leavingServerGetsNothingWhenResponsesOfTheStoreAreSilent()
    {
        checkLeaving(2, {"p-1"}, LeavingSign::Draining, [](Deployment &deployment) {
            silenceStore(deployment, ProxyDirection::FromTarget);
        });
    }

    // The next silence begins soon after the one before has been noticed.
    void leavingServerGetsNothingWhenConnectionsFallSilentAgainAndAgain()
    {
        checkLeaving(4, {"p-1"}, LeavingSign::Removed, [](Deployment &deployment) {
            for (int i = 0; i < 4; ++i) {
                silenceStore(deployment, ProxyDirection::Both);
                std::this_thread::sleep_for(std::chrono::milliseconds(1100));
            }
            silenceStore(deployment, ProxyDirection::Both);
        });
    }

    void leavingServerGetsNothingOnConnectionsToItThatFellSilent()
    {
        checkLeaving(4, {"p-1"}, LeavingSign::Draining, [](Deployment &deployment) {
            silenceStore(deployment, ProxyDirection::Both);
            deployment.plainProxy(1).silenceOpenConnections(ProxyDirection::FromTarget);
        });
    }

private:
    // How servers leave.
    enum class LeavingSign {
        Draining,
        Removed,
    };

    static void silenceStore(Deployment &deployment, ProxyDirection direction)
    {
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
            deployment.storeProxy(i).silenceOpenConnections(direction);
        }
    }

    // Under load, causes the fault, then lets plain servers leave, and checks what reaches them.
    template<typename Cause>
    static void checkLeaving(std::size_t instances, const std::vector<std::string> &leaving, LeavingSign sign, Cause cause)
    {
        Deployment deployment(instances, DeploymentNetwork::Proxies);
        CPPUNIT_ASSERT(deployment.awaitServing());
        std::vector<std::size_t> all(instances);
        std::iota(all.begin(), all.end(), 0);
        Load load(deployment, all);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        cause(deployment);
        std::this_thread::sleep_for(TimeBeforeChange);
        for (std::size_t i = 0; i < PlainServers; ++i) {
            auto &server = deployment.plain(i);
            if (std::ranges::find(leaving, "p-" + std::to_string(i)) == leaving.end()) {
                continue;
            }
            if (sign == LeavingSign::Draining) {
                server.registerEntry("draining");
            } else {
                server.removeEntry();
            }
        }
        const TimePoint acknowledgedAt = monotonicNow();
        std::this_thread::sleep_for(std::chrono::seconds(6));
        load.stop();
        std::size_t arrived = 0;
        Duration latest = Duration::zero();
        for (const auto &arrival : deployment.recorder().arrivals()) {
            if (std::ranges::find(leaving, arrival.server_) != leaving.end() && arrival.at_ > acknowledgedAt) {
                ++arrived;
                latest = std::max(latest, arrival.at_ - acknowledgedAt);
            }
        }
        const auto message = std::to_string(arrived) + " requests after the sign, the last after " + std::to_string(latest / 1ms) + " ms";
        CPPUNIT_ASSERT_MESSAGE(message, latest <= LeavingBound);
        checkNoViolations(deployment);
    }

    // All open connections to the store fall silent, then a route is added.
    static void checkAddedRoute(std::size_t instances)
    {
        Deployment deployment(instances, DeploymentNetwork::Proxies);
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (std::size_t i = 0; i < instances; ++i) {
            deployment.storeProxy(i).silenceOpenConnections();
        }
        std::this_thread::sleep_for(TimeBeforeChange);
        deployment.putConfiguration(AddedRoute);
        const TimePoint changedAt = monotonicNow();
        for (std::size_t i = 0; i < instances; ++i) {
            const bool isServed = Deployment::eventually([&] {
                return deployment.call(i, makeRequestForAddedRoute()).status_ == 200;
            });
            const Duration after = monotonicNow() - changedAt;
            CPPUNIT_ASSERT(isServed);
            CPPUNIT_ASSERT_MESSAGE("instance " + std::to_string(i) + " served the added route after " + std::to_string(after / 1ms) + " ms",
                                   after < ConfigurationBound);
        }
        checkNoViolations(deployment);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSilentConnections);
