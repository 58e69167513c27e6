// Tests of the estimate of how long messages wait at the own link.
#include <LibGateway/LibGateway.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

const TimePoint Start(std::chrono::hours(1));
// The peer's clock is ahead by this much.
constexpr Duration ClockDifference = std::chrono::hours(5);
constexpr Duration OneWay = 2ms;

// Records a ping whose answer takes `outgoing` and `incoming` longer than on an empty link.
PeerDelay record(LinkDelay &link, const std::string &peer, TimePoint pingedAt, Duration outgoing, Duration incoming)
{
    const TimePoint answeredAt = pingedAt + OneWay + outgoing;
    return link.record(peer, pingedAt, answeredAt + ClockDifference, answeredAt + OneWay + incoming);
}

} // namespace

class TestLinkDelay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLinkDelay);
    CPPUNIT_TEST(directionsAreToldApart);
    CPPUNIT_TEST(delayAtThePeerIsNotThatOfTheOwnLink);
    CPPUNIT_TEST(queueGrowsWhileAnswersAreOverdue);
    CPPUNIT_TEST(anotherMachineAtTheAddressIsMeasuredAnew);
    CPPUNIT_TEST(peerThatHasStoppedSaysNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void directionsAreToldApart()
    {
        LinkDelay link;
        record(link, "a", Start, 0ms, 0ms);
        const auto delay = record(link, "a", Start + 400ms, 70ms, 900ms);
        CPPUNIT_ASSERT(delay.roundTrip_ == 974ms);
        CPPUNIT_ASSERT(delay.outgoingQueue_ == 70ms);
        CPPUNIT_ASSERT(delay.incomingQueue_ == 900ms);
        CPPUNIT_ASSERT(link.incomingQueue(Start + 1400ms) == 900ms);
    }

    void delayAtThePeerIsNotThatOfTheOwnLink()
    {
        LinkDelay link;
        for (const auto *peer : {"a", "b"}) {
            record(link, peer, Start, 0ms, 0ms);
        }
        record(link, "a", Start + 400ms, 0ms, 600ms);
        record(link, "b", Start + 800ms, 0ms, 20ms);
        CPPUNIT_ASSERT(link.incomingQueue(Start + 1100ms) == 20ms);
    }

    void queueGrowsWhileAnswersAreOverdue()
    {
        LinkDelay link;
        record(link, "a", Start, 0ms, 0ms);
        CPPUNIT_ASSERT(link.incomingQueue(Start + PingInterval) == Duration::zero());
        CPPUNIT_ASSERT(link.incomingQueue(Start + PingInterval + 600ms) > 500ms);
    }

    void anotherMachineAtTheAddressIsMeasuredAnew()
    {
        LinkDelay link;
        record(link, "a", Start, 0ms, 0ms);
        const TimePoint pingedAt = Start + 400ms;
        const auto delay = link.record("a", pingedAt, pingedAt - std::chrono::hours(2), pingedAt + 5ms);
        CPPUNIT_ASSERT(delay.outgoingQueue_ == Duration::zero());
        CPPUNIT_ASSERT(delay.incomingQueue_ == Duration::zero());
        CPPUNIT_ASSERT(link.incomingQueue(pingedAt + 10ms) == Duration::zero());
    }

    void peerThatHasStoppedSaysNothing()
    {
        LinkDelay link;
        record(link, "a", Start, 0ms, 0ms);
        CPPUNIT_ASSERT(link.incomingQueue(Start + 2s) == Duration::zero());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLinkDelay);
