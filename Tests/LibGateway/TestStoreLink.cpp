// Tests of the calls that an instance makes to the store.
#include <LibGateway/LibGateway.h>

#include <StandIns/LoopbackProxy.h>
#include <StandIns/PlatformStoreStandIn.h>

#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr std::uint64_t Capacity = 1U << 20U;

// Within this time after the store has acknowledged a change it has to be in force.
constexpr auto ChangeBound = std::chrono::milliseconds(2000);

// An instance that only keeps its view up to date.
struct Link
{
    PlatformStoreStandIn standIn_{0};
    LoopbackProxy proxy_{standIn_.address()};
    MemoryAccount memory_{Capacity};
    asio::io_context loop_;
    EventLog log_{"edge-1"};
    StoreView view_{[](const std::string &, const std::string &) {}};
    Platform::PlatformStore store_{loop_, proxy_.address(), memory_};
    StoreLink link_{loop_, store_, view_, {"edge-1", "1", "127.0.0.1:1", "north", 200}, log_, {[] {}, [] {}}};

    void runFor(std::chrono::milliseconds duration)
    {
        loop_.restart();
        loop_.run_for(duration);
    }
    // Runs until the view has a revision, for this time at most. Returns whether it has.
    bool awaitRevision(std::uint64_t revision, std::chrono::milliseconds longest)
    {
        for (const TimePoint until = bootNow() + longest; view_.at() < atRevision(revision) && bootNow() < until;) {
            runFor(10ms);
        }
        return view_.at() >= atRevision(revision);
    }
};

} // namespace

class TestStoreLink : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreLink);
    CPPUNIT_TEST(storeThatKeepsNoHistoryIsNotReadWithoutPause);
    CPPUNIT_TEST(discardedHistoryDelaysNoChange);
    CPPUNIT_TEST(changeBehindSilentConnectionsIsSeen);
    CPPUNIT_TEST(changeThatTheWatchDoesNotReportIsSeen);
    CPPUNIT_TEST(slowStoreIsNotReadCompletelyAgain);
    CPPUNIT_TEST(quietStoreIsAskedSeldom);
    CPPUNIT_TEST(renewalOfTheLeaseDoesNotConfirmTheView);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that uses up all nodes' calls by complete reads.
    void storeThatKeepsNoHistoryIsNotReadWithoutPause()
    {
        Link link;
        link.standIn_.setFault(PlatformStoreFault::DiscardsHistory);
        link.link_.start();
        link.runFor(2s);
        // No more than one call each 50 ms, with those for the lease.
        CPPUNIT_ASSERT_LESSEQUAL(std::uint64_t(40), link.standIn_.callCount());
        // It goes on reading.
        link.standIn_.put("servers/i-1", "{}");
        const auto revision = link.standIn_.revision();
        link.runFor(1s);
        CPPUNIT_ASSERT(link.view_.at() >= atRevision(revision));
    }

    void discardedHistoryDelaysNoChange()
    {
        Link link;
        link.link_.start();
        for (int i = 0; i < 2; ++i) {
            link.runFor(1s);
            link.standIn_.discardHistory();
            link.standIn_.put("servers/i-1", "{}");
            const auto revision = link.standIn_.revision();
            link.runFor(500ms);
            CPPUNIT_ASSERT(link.view_.at() >= atRevision(revision));
        }
    }

    // Guards against a view that is late because a watch is relied on that can bring nothing any more.
    void changeBehindSilentConnectionsIsSeen()
    {
        for (const auto direction : {ProxyDirection::ToTarget, ProxyDirection::FromTarget, ProxyDirection::Both}) {
            Link link;
            link.link_.start();
            link.runFor(1s);
            // The second time follows soon after the first has been noticed.
            for (int i = 0; i < 2; ++i) {
                link.proxy_.silenceOpenConnections(direction);
                link.standIn_.put("servers/i-1", "{}");
                CPPUNIT_ASSERT(link.awaitRevision(link.standIn_.revision(), ChangeBound));
            }
        }
    }

    // Guards against a watch that is taken for proof of its own silence.
    void changeThatTheWatchDoesNotReportIsSeen()
    {
        Link link;
        link.link_.start();
        link.runFor(1s);
        link.standIn_.suppressWatchEvents();
        link.standIn_.put("servers/i-1", "{}");
        CPPUNIT_ASSERT(link.awaitRevision(link.standIn_.revision(), ChangeBound));
    }

    // Guards against complete reads of a store that only responds late.
    void slowStoreIsNotReadCompletelyAgain()
    {
        Link link;
        link.link_.start();
        link.runFor(1s);
        const TimePoint readAt = link.link_.readAt();
        for (const auto delay : {150ms, 250ms}) {
            link.proxy_.setDelay(delay);
            for (int i = 0; i < 30; ++i) {
                link.standIn_.put("servers/i-1", "{}");
                link.runFor(100ms);
            }
            link.runFor(1s);
            CPPUNIT_ASSERT_EQUAL(atRevision(link.standIn_.revision()), link.view_.at());
        }
        CPPUNIT_ASSERT(link.link_.readAt() == readAt);
    }

    void quietStoreIsAskedSeldom()
    {
        Link link;
        link.link_.start();
        link.runFor(1s);
        const auto before = link.standIn_.callCount();
        link.runFor(6s);
        // 12 renewals of the lease, 10 reads of the revision, 2 watches and one more of each.
        CPPUNIT_ASSERT_LESSEQUAL(before + 27, link.standIn_.callCount());
        CPPUNIT_ASSERT(link.link_.isCurrent(bootNow()));
    }

    // Guards against a view that is said to be current because the store can be reached.
    void renewalOfTheLeaseDoesNotConfirmTheView()
    {
        Link link;
        link.link_.start();
        link.runFor(1s);
        CPPUNIT_ASSERT(link.link_.isCurrent(bootNow()));
        link.standIn_.setFault(PlatformStoreFault::IgnoresReads);
        link.runFor(2s);
        CPPUNIT_ASSERT(!link.link_.isCurrent(bootNow()));
        CPPUNIT_ASSERT(bootNow() - link.link_.confirmedAt() > Duration(1900ms));
        CPPUNIT_ASSERT(link.link_.isLeaseValid(bootNow()));
        CPPUNIT_ASSERT(link.link_.isStoreReachable(bootNow()));
        link.standIn_.setFault(PlatformStoreFault::None);
        link.runFor(1500ms);
        CPPUNIT_ASSERT(link.link_.isCurrent(bootNow()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreLink);
