// Tests of the calls that an instance makes to the store.
#include <LibGateway/LibGateway.h>

#include <StandIns/PlatformStoreStandIn.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr std::uint64_t Capacity = 1U << 20U;

// An instance that only keeps its view up to date.
struct Link
{
    PlatformStoreStandIn standIn_{0};
    MemoryAccount memory_{Capacity};
    asio::io_context loop_;
    EventLog log_{"edge-1"};
    StoreView view_{[](const std::string &, const std::string &) {}};
    Platform::PlatformStore store_{loop_, standIn_.address(), memory_};
    StoreLink link_{loop_, store_, view_, {"edge-1", "1", "127.0.0.1:1", "north", 200}, log_, {[] {}, [] {}}};

    void runFor(std::chrono::milliseconds duration)
    {
        loop_.restart();
        loop_.run_for(duration);
    }
};

} // namespace

class TestStoreLink : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreLink);
    CPPUNIT_TEST(storeThatKeepsNoHistoryIsNotReadWithoutPause);
    CPPUNIT_TEST(discardedHistoryDelaysNoChange);
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
        CPPUNIT_ASSERT(link.view_.at() >= revision);
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
            CPPUNIT_ASSERT(link.view_.at() >= revision);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreLink);
