// Tests of router processes whose open connections pass nothing any more while new ones work.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

// Within this time after the store has acknowledged a configuration it has to be in force.
constexpr Duration ConfigurationBound = 2s;
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

private:
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
