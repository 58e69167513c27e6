// Tests of router processes with servers that leave or want no requests for a while.
#include "Callers.h"
#include "FixedCoordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

class TestLeavingServers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLeavingServers);
    CPPUNIT_TEST(outdatedCoordinatorPlacesAtDrainingServer);
    CPPUNIT_TEST(outdatedCoordinatorPlacesAtRemovedServer);
    CPPUNIT_TEST(outdatedCoordinatorPlacesAtEvacuatedServer);
    CPPUNIT_TEST(outdatedCoordinatorPlacesAtAnnouncedServer);
    CPPUNIT_TEST(retryIsPlacedAtAnnouncedServer);
    CPPUNIT_TEST(serverAnnouncesLeavingWhileStoreIsSilent);
    CPPUNIT_TEST(coordinatorHearsOfAnnouncementFromOthers);
    CPPUNIT_TEST(keysMoveFromAnnouncedHolderThatIgnoresReleases);
    CPPUNIT_TEST(copyOfAnEarlierResponseIsNoAnswerToAGrant);
    CPPUNIT_TEST(newRunOfAnnouncedServerIsUsed);
    CPPUNIT_TEST(readyEntryAfterAnnouncementIsNotBelieved);
    CPPUNIT_TEST(restartedInstanceHearsOfAnnouncementsBeforeTheStoreTells);
    CPPUNIT_TEST(heldBackServerGetsNothingUntilTheEnd);
    CPPUNIT_TEST(heldBackServerIsNotProbed);
    CPPUNIT_TEST(outdatedCoordinatorPlacesAtHeldBackServer);
    CPPUNIT_TEST(callersAreRejectedAtOnceWhileAllServersAreHeldBack);
    CPPUNIT_TEST(unreadableAnnouncementsAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void outdatedCoordinatorPlacesAtDrainingServer()
    {
        checkChangeIsHeeded([](Deployment &deployment) {
            deployment.plain(0).registerEntry("draining");
            CPPUNIT_ASSERT(awaitLine(deployment, "server-leaving"));
        });
    }

    void outdatedCoordinatorPlacesAtRemovedServer()
    {
        checkChangeIsHeeded([](Deployment &deployment) {
            deployment.plain(0).removeEntry();
            CPPUNIT_ASSERT(awaitLine(deployment, "server-leaving"));
        });
    }

    void outdatedCoordinatorPlacesAtEvacuatedServer()
    {
        checkChangeIsHeeded([](Deployment &deployment) {
            deployment.store().put("op/evacuate/north", "{}");
            // Longer than a change takes to reach an instance that watches the store.
            std::this_thread::sleep_for(700ms);
        });
    }

    void outdatedCoordinatorPlacesAtAnnouncedServer()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const FixedCoordinator coordinator(deployment, "plain", deployment.plain(0));
        CPPUNIT_ASSERT(awaitPlacementsBy(deployment, coordinator));
        deployment.plain(0).setLeavingHeader("1");
        CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, CallerRequest()).status_);
        checkNothingRunsAt(deployment, "p-0");
        const auto reports = coordinator.reports();
        CPPUNIT_ASSERT(std::ranges::any_of(reports, [](const Gateway::FinishMessage &report) {
            return report.isServerLeaving_ && report.server_ == "p-0";
        }));
    }

    void retryIsPlacedAtAnnouncedServer()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const FixedCoordinator coordinator(deployment, "plain", deployment.plain(0));
        CPPUNIT_ASSERT(awaitPlacementsBy(deployment, coordinator));
        deployment.plain(0).setFault(PlatformServerFault::Sheds);
        deployment.plain(0).setLeavingHeader("1");
        const auto before = deployment.plain(0).arrivalCount();
        CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, CallerRequest()).status_);
        CPPUNIT_ASSERT_EQUAL(before + 1, deployment.plain(0).arrivalCount());
    }

    void serverAnnouncesLeavingWhileStoreIsSilent()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        deployment.store().setFault(PlatformStoreFault::Unresponsive);
        announce(deployment, 0);
        checkNothingRunsAt(deployment, "p-0", 10s);
        deployment.store().setFault(PlatformStoreFault::None);
    }

    void coordinatorHearsOfAnnouncementFromOthers()
    {
        Deployment deployment(3);
        CPPUNIT_ASSERT(deployment.awaitServing());
        announce(deployment, 0);
        // All instances hear of it, whichever got the response, before the store says anything.
        CPPUNIT_ASSERT(Deployment::eventually(
            [&] {
                return deployment.linesContaining("\"event\":\"server-leaving\"").size() == 3;
            },
            1500ms));
        checkNothingRunsAt(deployment, "p-0");
    }

    void keysMoveFromAnnouncedHolderThatIgnoresReleases()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto key = keyHeldBy(deployment, 0);
        deployment.sharded(0).setFault(PlatformServerFault::IgnoresReleases);
        deployment.sharded(0).setLeavingHeader("1");
        CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, makeKeyed(key)).status_);
        const auto before = runsAt(deployment, "s-0");
        // Until the hold has run out nobody can serve the key, and callers are told at once when to come back.
        CPPUNIT_ASSERT(Deployment::eventually(
            [&] {
                const auto answer = deployment.call(0, makeKeyed(key));
                CPPUNIT_ASSERT(answer.status_ == 200 || (answer.status_ == 503 && answer.hasRetryAfter_));
                return answer.status_ == 200;
            },
            8s));
        CPPUNIT_ASSERT_EQUAL(before, runsAt(deployment, "s-0"));
        checkNoViolations(deployment);
    }

    // Guards against two holders: a server writes the response to an earlier grant once more, and carries out the grant that is due only after
    // it has released the keys.
    void copyOfAnEarlierResponseIsNoAnswerToAGrant()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        auto &holder = deployment.sharded(0);
        std::vector<std::uint32_t> keys;
        for (std::uint32_t key = 0; key < 65536; key += 256) {
            if (holder.holds(key)) {
                keys.push_back(key);
            }
        }
        CPPUNIT_ASSERT(!keys.empty());
        holder.setFault(PlatformServerFault::GrantsLateAfterCopies);
        CPPUNIT_ASSERT(Deployment::eventually([&holder] {
            return holder.lateGrantCount() > 0;
        }));
        holder.registerEntry("draining");
        // Longer than any hold lasts.
        for (const TimePoint end = monotonicNow() + 6s; monotonicNow() < end;) {
            for (const auto key : keys) {
                // The new holder is looked at first, as the keys may change hands in between.
                const bool isHeldTwice = isHeldByAnother(deployment, key) && holder.holds(key);
                CPPUNIT_ASSERT_MESSAGE("key " + std::to_string(key) + " is held twice", !isHeldTwice);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        for (const auto key : keys) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE("key " + std::to_string(key), 200, deployment.call(0, makeKeyed(key)).status_);
        }
        checkNoViolations(deployment);
    }

    void newRunOfAnnouncedServerIsUsed()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        announce(deployment, 0);
        deployment.plain(0).setLeavingHeader("");
        deployment.plain(0).restart();
        deployment.plain(0).registerEntry();
        const auto before = runsAt(deployment, "p-0");
        const auto loads = startLoads(deployment, 5);
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return runsAt(deployment, "p-0") > before;
        }));
    }

    void readyEntryAfterAnnouncementIsNotBelieved()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        announce(deployment, 0);
        deployment.plain(0).registerEntry("draining");
        deployment.plain(0).registerEntry("ready");
        std::this_thread::sleep_for(600ms);
        checkNothingRunsAt(deployment, "p-0");
    }

    // Guards against an instance that forgets with its restart which servers have left.
    void restartedInstanceHearsOfAnnouncementsBeforeTheStoreTells()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        announce(deployment, 0);
        CPPUNIT_ASSERT(awaitLine(deployment, "server-leaving", 2));
        deployment.instance(0).signal(SIGKILL);
        deployment.instance(0).wait(5s);
        deployment.instance(0).start();
        CPPUNIT_ASSERT(awaitLine(deployment, "server-leaving", 3));
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.instance(0).isReady();
        }));
        checkNothingRunsAt(deployment, "p-0");
    }

    void heldBackServerGetsNothingUntilTheEnd()
    {
        Deployment deployment(2);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const auto before = deployment.plain(0).arrivalCount();
        deployment.plain(0).setRetryAfter("2.5");
        // One of the instances coordinates the service for both.
        const Load load(deployment, {0, 1});
        const auto loads = startLoads(deployment, 5);
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.plain(0).arrivalCount() > before;
        }));
        // Requests that were on the way when the server asked for none may still arrive, and the other instance has to be told as well.
        std::this_thread::sleep_for(500ms);
        const auto told = deployment.plain(0).arrivalCount();
        std::this_thread::sleep_for(1500ms);
        CPPUNIT_ASSERT(deployment.plain(0).arrivalCount() <= told + 1);
        deployment.plain(0).setRetryAfter("");
        const auto runs = runsAt(deployment, "p-0");
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return runsAt(deployment, "p-0") > runs;
        }));
    }

    void heldBackServerIsNotProbed()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        deployment.plain(0).setRetryAfter("4");
        deployment.plain(0).restart();
        const auto before = deployment.plain(0).healthCount();
        deployment.plain(0).registerEntry();
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.plain(0).healthCount() > before;
        }));
        std::this_thread::sleep_for(2500ms);
        CPPUNIT_ASSERT_EQUAL(before + 1, deployment.plain(0).healthCount());
    }

    void outdatedCoordinatorPlacesAtHeldBackServer()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const FixedCoordinator coordinator(deployment, "plain", deployment.plain(0));
        CPPUNIT_ASSERT(awaitPlacementsBy(deployment, coordinator));
        const auto before = deployment.plain(0).arrivalCount();
        deployment.plain(0).setRetryAfter("30");
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, CallerRequest()).status_);
        }
        CPPUNIT_ASSERT_EQUAL(before + 1, deployment.plain(0).arrivalCount());
    }

    void callersAreRejectedAtOnceWhileAllServersAreHeldBack()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        std::size_t before = 0;
        for (std::size_t i = 0; i < 4; ++i) {
            before += deployment.plain(i).arrivalCount();
            deployment.plain(i).setRetryAfter("5");
        }
        for (int i = 0; i < 20; ++i) {
            const auto startedAt = std::chrono::steady_clock::now();
            const auto answer = deployment.call(0, CallerRequest());
            CPPUNIT_ASSERT_EQUAL(503, answer.status_);
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < 500ms);
            CPPUNIT_ASSERT(i < 4 || (answer.retryAfterSeconds_ > 3 && answer.retryAfterSeconds_ < 5.2));
        }
        std::size_t after = 0;
        for (std::size_t i = 0; i < 4; ++i) {
            after += deployment.plain(i).arrivalCount();
        }
        CPPUNIT_ASSERT_EQUAL(before + 4, after);
    }

    void unreadableAnnouncementsAreIgnored()
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        for (std::size_t i = 0; i < 4; ++i) {
            deployment.plain(i).setLeavingHeader("yes");
        }
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, deployment.call(0, CallerRequest()).status_);
        }
        CPPUNIT_ASSERT(deployment.linesContaining("\"event\":\"server-leaving\"").empty());
        CPPUNIT_ASSERT(deployment.instance(0).metrics().find("goldcrestwall_unreadable_announcements_total 10") != std::string::npos);
        deployment.plain(0).setRetryAfter("Wed, 21 Oct 2026 07:28:00 GMT");
        const auto before = deployment.plain(0).arrivalCount();
        const auto loads = startLoads(deployment, 5);
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.plain(0).arrivalCount() >= before + 3;
        }));
    }

private:
    static bool isHeldByAnother(Deployment &deployment, std::uint32_t key)
    {
        return deployment.sharded(1).holds(key) || deployment.sharded(2).holds(key) || deployment.sharded(3).holds(key);
    }

    // Makes a change after which p-0 is to get no requests, while a coordinator goes on choosing that server.
    static void checkChangeIsHeeded(const std::function<void(Deployment &)> &change)
    {
        Deployment deployment(1);
        CPPUNIT_ASSERT(deployment.awaitServing());
        const FixedCoordinator coordinator(deployment, "plain", deployment.plain(0));
        CPPUNIT_ASSERT(awaitPlacementsBy(deployment, coordinator));
        change(deployment);
        checkNothingRunsAt(deployment, "p-0");
    }

    // Waits until the only instance gets its placements from that coordinator.
    static bool awaitPlacementsBy(Deployment &deployment, const FixedCoordinator &coordinator)
    {
        return Deployment::eventually([&] {
            return deployment.call(0, CallerRequest()).status_ == 200 && coordinator.placementCount() > 0;
        });
    }

    static bool awaitLine(Deployment &deployment, const std::string &event, std::size_t count = 1)
    {
        return Deployment::eventually([&] {
            return deployment.linesContaining("\"event\":\"" + event + "\"").size() >= count;
        });
    }

    // Lets a plain server say that it is leaving, and sends requests until one of them has been told so.
    static void announce(Deployment &deployment, std::size_t index)
    {
        const std::string server = deployment.plain(index).id();
        const auto before = runsAt(deployment, server);
        deployment.plain(index).setLeavingHeader("1");
        const auto loads = startLoads(deployment, 5);
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return runsAt(deployment, server) > before;
        }));
    }

    // Each load has two callers of the plain service.
    static std::vector<std::unique_ptr<Load>> startLoads(Deployment &deployment, std::size_t count)
    {
        std::vector<std::unique_ptr<Load>> loads;
        while (loads.size() < count) {
            loads.push_back(std::make_unique<Load>(deployment, std::vector<std::size_t>{0}));
        }
        return loads;
    }

    static std::size_t runsAt(Deployment &deployment, const std::string &server)
    {
        const auto runs = deployment.recorder().runs();
        return static_cast<std::size_t>(std::ranges::count(runs, server, &PlatformRun::server_));
    }

    // Sends requests for a while and checks that they are served, but not by that server.
    static void checkNothingRunsAt(Deployment &deployment, const std::string &server, std::chrono::milliseconds duration = 700ms)
    {
        const auto before = runsAt(deployment, server);
        // Enough callers that each of the four servers would be needed.
        const auto loads = startLoads(deployment, 3);
        std::this_thread::sleep_for(duration);
        for (const auto &load : loads) {
            load->stop();
            CPPUNIT_ASSERT(load->statuses()[200] > 50);
            checkBookings(deployment, load->bookings());
        }
        CPPUNIT_ASSERT_EQUAL(before, runsAt(deployment, server));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLeavingServers);
