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
    // Number of log lines that have this text.
    std::size_t countLines(const std::string &text) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(log_.pendingLines(), [&text](const std::string &line) {
            return line.find(text) != std::string::npos;
        }));
    }
    // Runs until there is a lease of the era. Returns whether there is one in time.
    bool awaitLease(StoreEra era)
    {
        const auto hasLease = [&] {
            return link_.isLeaseValid(bootNow()) && link_.lease().era_ == era;
        };
        for (const TimePoint until = bootNow() + ChangeBound; !hasLease() && bootNow() < until;) {
            runFor(10ms);
        }
        return hasLease();
    }
    // Runs until the view is of the era, for this time at most. Returns whether it is.
    bool awaitEra(StoreEra era, std::chrono::milliseconds longest)
    {
        for (const TimePoint until = bootNow() + longest; view_.at().era_ != era && bootNow() < until;) {
            runFor(10ms);
        }
        return view_.at().era_ == era;
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
    CPPUNIT_TEST(higherEraLeadsToACompleteReadAndAnotherLease);
    CPPUNIT_TEST(viewOfAnEarlierEraIsNotCurrent);
    CPPUNIT_TEST(memberEntryNamesTheEraOfItsLease);
    CPPUNIT_TEST(eraThatOnlyPeersKnowOfEndsTheWatch);
    CPPUNIT_TEST(eraThatTheStoreDoesNotStateIsNotReadWithoutPause);
    CPPUNIT_TEST(linesTellOfAnEraAndOfWhatIsWrittenAgain);
    CPPUNIT_TEST(registrationsOfAllInstancesAreSpread);
    CPPUNIT_TEST(firstEraOfAProcessIsNoChange);
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

    // Guards against a view, a lease and a member entry from before the store came back from an older copy, which go on as if nothing had been lost.
    void higherEraLeadsToACompleteReadAndAnotherLease()
    {
        Link link;
        link.standIn_.setEra(1);
        link.link_.start();
        CPPUNIT_ASSERT(link.awaitLease(1));
        CPPUNIT_ASSERT(link.awaitRevision(link.standIn_.revision(), ChangeBound));
        link.standIn_.takeCopy();
        link.standIn_.put("servers/i-1", "{}");
        CPPUNIT_ASSERT(link.awaitRevision(link.standIn_.revision(), ChangeBound));
        link.standIn_.restoreCopy(RestoredLeases::Ended);
        CPPUNIT_ASSERT(link.awaitLease(2));
        link.runFor(500ms);
        CPPUNIT_ASSERT_EQUAL(StoreVersion(2, link.standIn_.revision()), link.view_.at());
        CPPUNIT_ASSERT(link.link_.isCurrent(bootNow()));
        CPPUNIT_ASSERT(!link.standIn_.get(memberKey("edge-1")).empty());
    }

    void viewOfAnEarlierEraIsNotCurrent()
    {
        Link link;
        link.standIn_.setEra(1);
        link.link_.start();
        CPPUNIT_ASSERT(link.awaitLease(1));
        CPPUNIT_ASSERT(link.link_.isCurrent(bootNow()));
        link.standIn_.takeCopy();
        // Only renewals of the lease are answered, and tell the era.
        link.standIn_.setFault(PlatformStoreFault::IgnoresReads);
        link.standIn_.restoreCopy();
        link.runFor(700ms);
        CPPUNIT_ASSERT(link.link_.isEraOutdated());
        CPPUNIT_ASSERT(!link.link_.isCurrent(bootNow()));
        CPPUNIT_ASSERT(*link.link_.viewAge(bootNow()) < 2s);
        link.standIn_.setFault(PlatformStoreFault::None);
        link.runFor(1s);
        CPPUNIT_ASSERT(link.link_.isCurrent(bootNow()));
    }

    void memberEntryNamesTheEraOfItsLease()
    {
        Link link;
        link.standIn_.setEra(1);
        link.link_.start();
        CPPUNIT_ASSERT(link.awaitLease(1));
        CPPUNIT_ASSERT(link.standIn_.get(memberKey("edge-1")).find("\"era\":1") != std::string::npos);
        link.standIn_.takeCopy();
        link.standIn_.restoreCopy();
        CPPUNIT_ASSERT(link.awaitLease(2));
        CPPUNIT_ASSERT(link.standIn_.get(memberKey("edge-1")).find("\"era\":2") != std::string::npos);
    }

    // Guards against an instance whose connections to the store are silent, and that relies on its watch although others know better.
    void eraThatOnlyPeersKnowOfEndsTheWatch()
    {
        Link link;
        link.standIn_.setEra(1);
        link.link_.start();
        CPPUNIT_ASSERT(link.awaitLease(1));
        link.runFor(500ms);
        link.proxy_.silenceOpenConnections(ProxyDirection::Both);
        link.standIn_.takeCopy();
        link.standIn_.restoreCopy();
        link.link_.expectVersion({2, 1}, bootNow());
        CPPUNIT_ASSERT(!link.link_.isCurrent(bootNow()));
        CPPUNIT_ASSERT(link.awaitEra(2, ChangeBound));
        // At once if the connections work.
        link.standIn_.setEra(3);
        link.link_.expectVersion({3, 1}, bootNow());
        CPPUNIT_ASSERT(link.awaitEra(3, 200ms));
        CPPUNIT_ASSERT(link.link_.isCurrent(bootNow()));
    }

    void eraThatTheStoreDoesNotStateIsNotReadWithoutPause()
    {
        Link link;
        link.standIn_.setEra(1);
        link.link_.start();
        CPPUNIT_ASSERT(link.awaitLease(1));
        const auto before = link.standIn_.callCount();
        link.link_.expectVersion({9, 1}, bootNow());
        link.runFor(2s);
        // No more than one call each 50 ms, with those for the lease.
        CPPUNIT_ASSERT_LESSEQUAL(before + 40, link.standIn_.callCount());
        CPPUNIT_ASSERT(!link.link_.isCurrent(bootNow()));
    }

    // Guards against logs that do not tell a store which has lost changes from one that was away.
    void linesTellOfAnEraAndOfWhatIsWrittenAgain()
    {
        Link link;
        link.standIn_.setEra(1);
        link.link_.start();
        CPPUNIT_ASSERT(link.awaitLease(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), link.countLines(R"("event":"store-connected","era":1)"));
        link.standIn_.takeCopy();
        link.standIn_.restoreCopy(RestoredLeases::Ended);
        CPPUNIT_ASSERT(link.awaitLease(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), link.countLines(R"("event":"store-era-changed","before":1,"era":2)"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), link.countLines(R"("event":"lease-granted","lease":"2.)"));
        link.runFor(500ms);
        CPPUNIT_ASSERT_EQUAL(StoreEra(2), link.link_.knownEra());
        CPPUNIT_ASSERT(link.view_.eraRead().has_value());
    }

    // Guards against a line of a change that was none, where peers have told a started instance the era before the store has.
    void firstEraOfAProcessIsNoChange()
    {
        Link link;
        link.standIn_.setEra(1);
        ViewUpdate update;
        update.at_ = {1, 5};
        update.isSnapshot_ = true;
        link.view_.apply(update, bootNow());
        link.link_.start();
        CPPUNIT_ASSERT(link.awaitLease(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), link.countLines("store-era-changed"));
    }

    // Guards against writes of all instances at the same moment when all of them hear at once that their leases are lost. Each makes two.
    void registrationsOfAllInstancesAreSpread()
    {
        for (const std::size_t count : {15, 63, 195, 1200}) {
            const auto spread = registrationSpread(count);
            CPPUNIT_ASSERT(spread <= Duration(500ms));
            const auto writesPerSecond = 2 * static_cast<double>(count) / std::chrono::duration<double>(spread).count();
            CPPUNIT_ASSERT(writesPerSecond <= 5001);
        }
        // Few instances do not wait.
        CPPUNIT_ASSERT(registrationSpread(15) < Duration(10ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreLink);
