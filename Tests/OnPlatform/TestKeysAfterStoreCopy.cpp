// Tests of router processes and servers of a sharded service whose store comes back from an older copy of its content: each key has one
// holder at a time, and all tokens rise.
#include "Callers.h"
#include "Findings.h"
#include "OwnerWatch.h"
#include "StoreReturn.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <functional>

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
    CPPUNIT_TEST(keysAreHeldTwiceAfterTwoReturns);
    CPPUNIT_TEST(keysAreHeldTwiceWhenTheGranterIsKilledBesideTheReturn);
    CPPUNIT_TEST(keysAreHeldTwiceWhenTheGranterStartsAgainAfterTheReturn);
    CPPUNIT_TEST(keysAreHeldTwiceWhenTheGranterIsPausedThroughTheReturn);
    CPPUNIT_TEST(keysAreHeldTwiceWhenTheGranterReachesTheStoreLater);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two holders and against tokens that were used before: one server got keys after the copy was taken, another one gets
    // keys after the return.
    void keysGrantedSinceTheCopyAreHeldTwice()
    {
        checkKeysAround([](Deployment &deployment) {
            comeBackFromCopy(deployment);
        });
    }

    // Guards against the same where the second return undoes what the granter has written since the first.
    void keysAreHeldTwiceAfterTwoReturns()
    {
        checkKeysAround([](Deployment &deployment) {
            comeBackFromCopy(deployment);
            std::this_thread::sleep_for(TroubleTime);
            comeBackFromCopy(deployment);
        });
    }

    // Guards against a successor that knows only the copy's assignment, and so neither the holders nor the tokens since.
    void keysAreHeldTwiceWhenTheGranterIsKilledBesideTheReturn()
    {
        checkKeysAround([](Deployment &deployment) {
            auto &granter = granterOf(deployment);
            granter.signal(SIGKILL);
            granter.wait(ExitBound);
            comeBackFromCopy(deployment);
        });
    }

    // Guards against the same at an instance that is the copy's granter by name and has granted nothing itself.
    void keysAreHeldTwiceWhenTheGranterStartsAgainAfterTheReturn()
    {
        checkKeysAround([](Deployment &deployment) {
            auto &granter = granterOf(deployment);
            granter.signal(SIGKILL);
            granter.wait(ExitBound);
            comeBackFromCopy(deployment);
            std::this_thread::sleep_for(300ms);
            granter.start();
        });
    }

    // Guards against a granter that goes on by what it knew, while another one has begun without knowing it.
    void keysAreHeldTwiceWhenTheGranterIsPausedThroughTheReturn()
    {
        checkKeysAround([](Deployment &deployment) {
            const auto &granter = granterOf(deployment);
            granter.signal(SIGSTOP);
            comeBackFromCopy(deployment);
            std::this_thread::sleep_for(TroubleTime);
            granter.signal(SIGCONT);
        });
    }

    // Guards against a granter that only its peers tell of the return.
    void keysAreHeldTwiceWhenTheGranterReachesTheStoreLater()
    {
        checkKeysAround([](Deployment &deployment) {
            auto &proxy = deployment.storeProxy(indexOf(deployment, granterOf(deployment)));
            proxy.setRefusing(true);
            proxy.resetOpenConnections();
            comeBackFromCopy(deployment);
            std::this_thread::sleep_for(TroubleTime);
            proxy.setRefusing(false);
        });
    }

private:
    static constexpr std::chrono::milliseconds TroubleTime{2000};
    static constexpr Duration ExitBound = 5s;

    static RouterProcess &granterOf(Deployment &deployment)
    {
        auto *granter = deployment.coordinator("sharded");
        CPPUNIT_ASSERT(granter != nullptr);
        return *granter;
    }

    static std::size_t indexOf(Deployment &deployment, const RouterProcess &instance)
    {
        std::size_t index = 0;
        while (&deployment.instance(index) != &instance) {
            ++index;
        }
        return index;
    }

    static void joinAndAwaitKeys(Deployment &deployment, std::size_t sharded)
    {
        deployment.sharded(sharded).registerEntry();
        const bool hasKeys = Deployment::eventually([&] {
            return holdsKeys(deployment, sharded);
        });
        CPPUNIT_ASSERT_MESSAGE("the server that joined got no keys", hasKeys);
    }

    // Lets a server get keys between the copy and the store's return, and another one after it.
    static void checkKeysAround(const std::function<void(Deployment &)> &comeBack)
    {
        constexpr auto TimeSinceGrants = 4s;
        constexpr auto TimeAfterReturn = 4s;
        constexpr auto WatchTime = 8s;
        Deployment deployment(3, DeploymentOptions{.network_ = DeploymentNetwork::Proxies, .storeEra_ = FirstEra, .registeredSharded_ = 2});
        const Heartbeats heartbeats(deployment);
        CPPUNIT_ASSERT(deployment.awaitServing());
        OwnerWatch watch(deployment);
        Load load(deployment, {0, 1, 2});
        deployment.store().takeCopy();
        joinAndAwaitKeys(deployment, 2);
        std::this_thread::sleep_for(TimeSinceGrants);
        comeBack(deployment);
        deployment.rewriteConfiguration();
        std::this_thread::sleep_for(TimeAfterReturn);
        joinAndAwaitKeys(deployment, 3);
        std::this_thread::sleep_for(WatchTime);
        const bool isServedAgain = deployment.awaitServing();
        load.stop();
        watch.stop();
        checkNone(deployment, findWrong(deployment, watch, load, isServedAgain));
    }

    static std::vector<std::string> findWrong(Deployment &deployment, const OwnerWatch &watch, const Load &load, bool isServedAgain)
    {
        std::vector<std::string> findings;
        if (!isServedAgain) {
            findings.emplace_back("not all keys are served again");
        }
        if (!watch.finding().empty()) {
            findings.push_back(watch.finding());
        }
        append(findings, deployment.recorder().violations());
        append(findings, findWrongBookings(deployment, load.bookings()));
        return findings;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestKeysAfterStoreCopy);
