// Tests of router processes and servers of a sharded service whose store comes back from an older copy of its content: each key has one
// holder at a time, and all tokens rise.
#include "Callers.h"
#include "Findings.h"
#include "OwnerWatch.h"
#include "StoreReturn.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

constexpr std::uint64_t FirstEra = 1;

bool holdsKeys(Deployment &deployment, std::size_t sharded)
{
    constexpr std::uint32_t KeyStep = 256;
    for (std::uint32_t key = 0; key < KeyCount; key += KeyStep) {
        if (deployment.sharded(sharded).holds(key)) {
            return true;
        }
    }
    return false;
}

} // namespace

class TestKeysAfterStoreCopy : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestKeysAfterStoreCopy);
    CPPUNIT_TEST(keysGrantedSinceTheCopyAreHeldTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two holders and against tokens that were used before: one server got keys after the copy was taken, another one gets
    // keys after the return.
    void keysGrantedSinceTheCopyAreHeldTwice()
    {
        constexpr auto TimeSinceGrants = 4s;
        constexpr auto TimeAfterReturn = 4s;
        constexpr auto WatchTime = 8s;
        Deployment deployment(3, DeploymentOptions{.storeEra_ = FirstEra, .registeredSharded_ = 2});
        const Heartbeats heartbeats(deployment);
        CPPUNIT_ASSERT(deployment.awaitServing());
        OwnerWatch watch(deployment);
        Load load(deployment, {0, 1, 2});
        deployment.store().takeCopy();
        joinAndAwaitKeys(deployment, 2);
        std::this_thread::sleep_for(TimeSinceGrants);
        comeBackFromCopy(deployment);
        deployment.rewriteConfiguration();
        std::this_thread::sleep_for(TimeAfterReturn);
        joinAndAwaitKeys(deployment, 3);
        std::this_thread::sleep_for(WatchTime);
        const bool isServedAgain = deployment.awaitServing();
        load.stop();
        watch.stop();
        std::vector<std::string> findings;
        if (!isServedAgain) {
            findings.emplace_back("not all keys are served again");
        }
        if (!watch.finding().empty()) {
            findings.push_back(watch.finding());
        }
        append(findings, deployment.recorder().violations());
        append(findings, findWrongBookings(deployment, load.bookings()));
        checkNone(deployment, findings);
    }

private:
    static void joinAndAwaitKeys(Deployment &deployment, std::size_t sharded)
    {
        deployment.sharded(sharded).registerEntry();
        const bool hasKeys = Deployment::eventually([&] {
            return holdsKeys(deployment, sharded);
        });
        CPPUNIT_ASSERT_MESSAGE("the server that joined got no keys", hasKeys);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestKeysAfterStoreCopy);
