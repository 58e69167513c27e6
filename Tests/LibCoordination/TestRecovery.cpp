// Tests in simulated time how long keys are unavailable after failures and planned events. The bounds are the targets given by users.
#include <Tests/Harness/Harness.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;

namespace {

constexpr std::size_t KeyCount = 24;
constexpr Duration ProbeInterval = 60ms;
constexpr Duration OutageProbeInterval = 2s;
// A key is available again within 3 s of a failure.
constexpr Duration LossBound = 3s;
// Bounds for planned moves include the interval between two probes of a key.
constexpr Duration MoveBound = 500ms;
const ServiceKey Bookings{CustomerId("trust"), ServiceId("bookings")};
const ServiceKey Catalogue{CustomerId("trust"), ServiceId("catalogue")};

SimulationOptions makeOptions(TokenChecking tokens)
{
    SimulationOptions options;
    options.customers_.push_back(
        makeCustomer("trust", {"d1", "d2", "d3"}, {{"bookings", ServiceKind::Keyed, 6, 2, tokens}, {"catalogue", ServiceKind::Shared, 4, 2, tokens}}, 48));
    options.instances_ = 6;
    options.instanceDomains_ = {DomainId("d1"), DomainId("d2"), DomainId("d3")};
    return options;
}

// Returns the instance that dispatches for a server.
FakeInstance &dispatcherOf(Simulation &simulation, const ServerId &server)
{
    const auto record = simulation.instance(0).table()->find(Bookings)->record_;
    return *simulation.findInstance(record->findServer(server)->dispatcher_.instance_.value_);
}

} // namespace

class TestRecovery : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRecovery);
    CPPUNIT_TEST(lostInstance);
    CPPUNIT_TEST(suspendedInstanceResumes);
    CPPUNIT_TEST(lostServer);
    CPPUNIT_TEST(suspendedServer);
    CPPUNIT_TEST(lostInstanceAndServerTogether);
    CPPUNIT_TEST(lostDomainOfInstances);
    CPPUNIT_TEST(longStoreOutage);
    CPPUNIT_TEST(lostInstanceDuringStoreOutage);
    CPPUNIT_TEST(allInstancesReplacedAtOnce);
    CPPUNIT_TEST(plannedStopRefusesNothing);
    CPPUNIT_TEST(rollingReplacementRefusesNothing);
    CPPUNIT_TEST(domainOutAndBack);
    CPPUNIT_TEST(cutOffInstanceStopsDispatching);
    CPPUNIT_TEST_SUITE_END();

    // Runs an event while every key is looked up regularly, and returns the longest time without a response of any key.
    template<typename Event>
    Duration measure(Simulation &simulation, Duration length, Event event, std::size_t *failures = nullptr, Duration interval = ProbeInterval)
    {
        const TimePoint until = simulation.events().now() + length;
        AvailabilityProbe probe(simulation, Bookings, KeyCount, interval, until);
        simulation.runFor(500ms);
        const TimePoint since = simulation.events().now();
        event();
        simulation.runFor(until - simulation.events().now());
        const Duration gap = probe.longestGap(since);
        simulation.runFor(5s);
        assertInvariants(simulation);
        if (failures) {
            *failures = probe.failures();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(probe.describeFailures(), std::size_t(0), probe.failures());
        }
        return gap;
    }

    static void assertInvariants(const Simulation &simulation)
    {
        const std::vector<std::string> problems = checkHistory(simulation);
        CPPUNIT_ASSERT_MESSAGE(problems.empty() ? "" : problems.front(), problems.empty());
    }

    static void assertWithin(Duration bound, Duration gap)
    {
        CPPUNIT_ASSERT_MESSAGE("longest gap " + std::to_string(gap.count() / 1000) + " ms", gap <= bound);
    }

    // Checks the longest gap of an event for several seeds, with servers that check tokens and with servers that ignore them.
    template<typename Event>
    void assertGap(Duration bound, Event event)
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Simulation simulation(makeOptions(seed % 2 == 0 ? TokenChecking::Checks : TokenChecking::Ignores), seed);
            simulation.boot();
            assertWithin(bound, measure(simulation, 8s, [&] {
                             event(simulation);
                         }));
        }
    }

public:
    void lostInstance()
    {
        assertGap(LossBound, [](Simulation &simulation) {
            dispatcherOf(simulation, ServerId("trust-bookings-1")).kill();
        });
    }

    void suspendedInstanceResumes()
    {
        assertGap(LossBound, [](Simulation &simulation) {
            FakeInstance &instance = dispatcherOf(simulation, ServerId("trust-bookings-2"));
            instance.setPaused(true);
            simulation.events().after(4s, [&instance] {
                instance.setPaused(false);
            });
        });
    }

    void lostServer()
    {
        assertGap(LossBound, [](Simulation &simulation) {
            simulation.server(ServerId("trust-bookings-1")).kill();
        });
    }

    void suspendedServer()
    {
        assertGap(LossBound, [](Simulation &simulation) {
            simulation.server(ServerId("trust-bookings-3")).setSuspended(true);
            simulation.events().after(5s, [&simulation] {
                simulation.server(ServerId("trust-bookings-3")).setSuspended(false);
            });
        });
    }

    void lostInstanceAndServerTogether()
    {
        assertGap(LossBound, [](Simulation &simulation) {
            dispatcherOf(simulation, ServerId("trust-bookings-1")).kill();
            simulation.server(ServerId("trust-bookings-1")).kill();
        });
    }

    void lostDomainOfInstances()
    {
        assertGap(LossBound, [](Simulation &simulation) {
            for (std::size_t index = 0; index < simulation.instanceCount(); ++index) {
                if (simulation.instance(index).domain() == DomainId("d2")) {
                    simulation.instance(index).kill();
                }
            }
        });
    }

    void longStoreOutage()
    {
        Simulation simulation(makeOptions(TokenChecking::Ignores), 3);
        simulation.boot();
        std::size_t failures = 0;
        const Duration gap = measure(
            simulation,
            30min,
            [&] {
                simulation.store().setDown(true);
            },
            &failures,
            OutageProbeInterval);
        assertWithin(OutageProbeInterval + MoveBound, gap);
    }

    void lostInstanceDuringStoreOutage()
    {
        // The servers of the failed instance get no requests until the store is available; all others are not interrupted.
        Simulation simulation(makeOptions(TokenChecking::Ignores), 4);
        simulation.boot();
        simulation.store().setDown(true);
        simulation.runFor(5s);
        dispatcherOf(simulation, ServerId("trust-bookings-1")).kill();
        simulation.runFor(10s);
        simulation.store().setDown(false);
        const Duration gap = measure(simulation, 8s, [] {});
        assertWithin(LossBound, gap);
    }

    void allInstancesReplacedAtOnce()
    {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            SimulationOptions options = makeOptions(seed % 2 == 0 ? TokenChecking::Checks : TokenChecking::Ignores);
            // Without balancing, only the failure could change an owner.
            options.balances_ = false;
            Simulation simulation(options, seed);
            simulation.boot();
            const auto before = simulation.instance(0).table()->find(Bookings)->record_;
            for (std::size_t index = 0; index < simulation.instanceCount(); ++index) {
                simulation.instance(index).kill();
            }
            simulation.runFor(1s);
            for (std::size_t index = 0; index < simulation.instanceCount(); ++index) {
                simulation.instance(index).start();
            }
            // Waits until the platform's list, which lags, no longer contains the old processes.
            simulation.runFor(12s);
            const Duration gap = measure(simulation, 5s, [] {});
            assertWithin(MoveBound, gap);
            const auto after = simulation.instance(0).table()->find(Bookings)->record_;
            CPPUNIT_ASSERT(after->slices() == before->slices());
        }
    }

    void plannedStopRefusesNothing()
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            Simulation simulation(makeOptions(seed % 2 == 0 ? TokenChecking::Checks : TokenChecking::Ignores), seed);
            simulation.boot();
            std::size_t failures = 0;
            FakeInstance &leaving = dispatcherOf(simulation, ServerId("trust-bookings-2"));
            measure(
                simulation,
                10s,
                [&] {
                    leaving.leave();
                },
                &failures);
            CPPUNIT_ASSERT(leaving.hasLeft());
        }
    }

    void rollingReplacementRefusesNothing()
    {
        Simulation simulation(makeOptions(TokenChecking::Ignores), 5);
        simulation.boot();
        std::size_t failures = 0;
        measure(
            simulation,
            60s,
            [&] {
                for (std::size_t index = 0; index < simulation.instanceCount(); ++index) {
                    FakeInstance &instance = simulation.instance(index);
                    instance.leave();
                    for (int wait = 0; wait < 80 && !(instance.hasLeft() && instance.inFlightRequests() == 0); ++wait) {
                        simulation.runFor(100ms);
                    }
                    CPPUNIT_ASSERT(instance.hasLeft());
                    instance.kill();
                    instance.start();
                    simulation.runFor(2s);
                }
            },
            &failures);
    }

    void domainOutAndBack()
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            Simulation simulation(makeOptions(seed % 2 == 0 ? TokenChecking::Checks : TokenChecking::Ignores), seed);
            simulation.boot();
            std::size_t failures = 0;
            const Duration gap = measure(
                simulation,
                20s,
                [&] {
                    simulation.setDomainState(CustomerId("trust"), DomainId("d1"), DomainState::Out);
                    simulation.runFor(8s);
                    const auto record = simulation.instance(0).table()->find(Bookings)->record_;
                    CPPUNIT_ASSERT(record->rangesOf(ServerId("trust-bookings-1")).empty());
                    simulation.setDomainState(CustomerId("trust"), DomainId("d1"), DomainState::In);
                },
                &failures);
            assertWithin(MoveBound, gap);
            const auto record = simulation.instance(0).table()->find(Bookings)->record_;
            CPPUNIT_ASSERT(!record->rangesOf(ServerId("trust-bookings-1")).empty());
        }
    }

    void cutOffInstanceStopsDispatching()
    {
        // A domain is taken out while the dispatcher of one of its servers is isolated from the network. Dispatching ends because the lease
        // of the instance expires.
        Simulation simulation(makeOptions(TokenChecking::Ignores), 7);
        simulation.boot();
        FakeInstance &isolated = dispatcherOf(simulation, ServerId("trust-bookings-1"));
        measure(simulation, 10s, [&] {
            simulation.isolate(isolated.address());
            simulation.setDomainState(CustomerId("trust"), DomainId("d1"), DomainState::Out);
            simulation.runFor(100ms);
            simulation.store().setDown(true);
            simulation.runFor(2s);
            const TimePoint local = isolated.coordinator().leaseExpiry();
            simulation.runFor(4s);
            CPPUNIT_ASSERT(isolated.coordinator().leaseExpiry() == local);
            simulation.store().setDown(false);
            simulation.heal(isolated.address());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRecovery);
