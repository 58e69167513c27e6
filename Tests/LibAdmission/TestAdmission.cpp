// Tests of LibAdmission: gate, fair queue, duplicate detection, failure detection, retry budget and rate limiter.
#include <LibAdmission/LibAdmission.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::milliseconds(milliseconds));
}

GateLimits makeLimits(std::uint32_t coldSlots, std::uint32_t slots, std::uint32_t warmup, std::size_t queueLength)
{
    return {{coldSlots, slots, warmup}, queueLength, 2s, 1s};
}

GateRequest makeRequest(const std::string &customer, double share, Priority priority, TimePoint deadline)
{
    return {CustomerId(customer), share, priority, std::nullopt, deadline};
}

const KeyRange Slice{3, {}};

} // namespace

class TestAdmission : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAdmission);
    CPPUNIT_TEST(coldServerGetsNoMoreThanItBears);
    CPPUNIT_TEST(unresolvedRequestHoldsItsSlot);
    CPPUNIT_TEST(unreachableDeadlineIsRefusedAtOnce);
    CPPUNIT_TEST(customersShareAQueueFairly);
    CPPUNIT_TEST(interactiveGoesBeforeExportUnlessUrgent);
    CPPUNIT_TEST(repeatsAreRecognised);
    CPPUNIT_TEST(memoryIsInheritedButNotBeyondItsFloor);
    CPPUNIT_TEST(dispatcherPauseDoesNotMarkServerLost);
    CPPUNIT_TEST(retriesAreBounded);
    CPPUNIT_TEST(ratePartsAddUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void coldServerGetsNoMoreThanItBears()
    {
        ServerGate gate(makeLimits(1, 3, 2, 10), at(0));
        const GateRequest request = makeRequest("c", 1, Priority::Interactive, at(5000));
        const GateDecision first = gate.offer(request, at(0));
        CPPUNIT_ASSERT(first.kind_ == GateDecision::Kind::Run);
        const GateDecision second = gate.offer(request, at(1));
        CPPUNIT_ASSERT(second.kind_ == GateDecision::Kind::Queued);
        gate.finish(first.ticket_, SlotOutcome::Succeeded, at(10));
        CPPUNIT_ASSERT(gate.takeEvents(at(10)).ready_ == std::vector<Ticket>{second.ticket_});
        gate.finish(second.ticket_, SlotOutcome::Succeeded, at(500));
        CPPUNIT_ASSERT_EQUAL(2U, gate.coldStart().limit());
        gate.assumeUnknownWork(at(600), at(1600));
        CPPUNIT_ASSERT_EQUAL(1U, gate.coldStart().limit());
        CPPUNIT_ASSERT(gate.offer(request, at(601)).kind_ == GateDecision::Kind::Queued);
    }

    void unresolvedRequestHoldsItsSlot()
    {
        ServerGate gate(makeLimits(1, 1, 0, 10), at(0));
        GateRequest request = makeRequest("c", 1, Priority::Interactive, at(5000));
        request.range_ = Slice;
        const GateDecision lost = gate.offer(request, at(0));
        gate.finish(lost.ticket_, SlotOutcome::Unresolved, at(100));
        CPPUNIT_ASSERT(!gate.isDrained(Slice, at(999)));
        CPPUNIT_ASSERT(gate.isDrained(KeyRange{4, {}}, at(999)));
        const GateDecision waiting = gate.offer(request, at(200));
        CPPUNIT_ASSERT(gate.takeEvents(at(999)).ready_.empty());
        CPPUNIT_ASSERT(gate.isDrained(Slice, at(1100)));
        CPPUNIT_ASSERT(gate.takeEvents(at(1100)).ready_ == std::vector<Ticket>{waiting.ticket_});
    }

    void unreachableDeadlineIsRefusedAtOnce()
    {
        ServerGate gate(makeLimits(1, 1, 0, 10), at(0));
        const GateDecision first = gate.offer(makeRequest("c", 1, Priority::Interactive, at(5000)), at(0));
        gate.finish(first.ticket_, SlotOutcome::Succeeded, at(100));
        gate.offer(makeRequest("c", 1, Priority::Interactive, at(5000)), at(100));
        const GateDecision unreachable = gate.offer(makeRequest("c", 1, Priority::Interactive, at(150)), at(100));
        CPPUNIT_ASSERT(unreachable.kind_ == GateDecision::Kind::Rejected && unreachable.error_ == RouterError::DeadlineUnreachable);
    }

    void customersShareAQueueFairly()
    {
        FairQueue queue(100);
        for (Ticket ticket = 1; ticket <= 60; ++ticket) {
            const bool isFirst = ticket <= 40;
            queue.push({ticket, CustomerId(isFirst ? "a" : "b"), isFirst ? 1.0 : 3.0, Priority::Interactive, at(0), at(9000)});
        }
        int served = 0;
        for (int index = 0; index < 20; ++index) {
            served += queue.pop(at(1), 1ms)->customer_ == CustomerId("b") ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(15, served);
        // In a full queue, the customer that holds the most in relation to its share loses a request.
        FairQueue full(2);
        full.push({1, CustomerId("a"), 1, Priority::Interactive, at(0), at(9000)});
        full.push({2, CustomerId("a"), 1, Priority::Interactive, at(0), at(9000)});
        CPPUNIT_ASSERT_EQUAL(Ticket(2), full.evictFor(CustomerId("b"), 1)->ticket_);
        CPPUNIT_ASSERT(!full.evictFor(CustomerId("a"), 1));
    }

    void interactiveGoesBeforeExportUnlessUrgent()
    {
        FairQueue queue(10);
        queue.push({1, CustomerId("a"), 1, Priority::Export, at(0), at(1000)});
        queue.push({2, CustomerId("a"), 1, Priority::Interactive, at(0), at(1000)});
        queue.push({3, CustomerId("a"), 1, Priority::Interactive, at(0), at(1000)});
        CPPUNIT_ASSERT_EQUAL(Ticket(2), queue.pop(at(1), 10ms)->ticket_);
        CPPUNIT_ASSERT_EQUAL(Ticket(1), queue.pop(at(970), 10ms)->ticket_);
    }

    void repeatsAreRecognised()
    {
        constexpr UnixMilliseconds Start = 1800000000000;
        SeenRequests seen;
        seen.setKnownSince(Slice, Start);
        const RequestId id = makeRequestId(Start + 5000, 7);
        CPPUNIT_ASSERT(seen.check(id, Slice, Start + 5000) == DuplicateCheck::Fresh);
        seen.insert(id, Slice, Start + 5000);
        CPPUNIT_ASSERT(seen.check(id, Slice, Start + 5001) == DuplicateCheck::Duplicate);
        seen.setCompleted(id);
        CPPUNIT_ASSERT(seen.check(id, Slice, Start + 5002) == DuplicateCheck::Completed);
        struct Case
        {
            RequestId id_;
            DuplicateCheck expected_;
        };
        const std::vector<Case> cases{
            {makeRequestId(Start - 1, 1), DuplicateCheck::PossibleDuplicate},
            // Created after the start of the history, but within the margin for a caller's clock that is ahead.
            {makeRequestId(Start + 900, 1), DuplicateCheck::PossibleDuplicate},
            {makeRequestId(Start + 6000, 1), DuplicateCheck::FromFuture},
            {RequestId("no identifier"), DuplicateCheck::PossibleDuplicate},
            {RequestId("0190a1b2-0000-4000-8000-000000000000"), DuplicateCheck::PossibleDuplicate},
        };
        for (const Case &entry : cases) {
            CPPUNIT_ASSERT_MESSAGE(entry.id_.value_, seen.check(entry.id_, Slice, Start + 5003) == entry.expected_);
        }
        CPPUNIT_ASSERT(seen.check(makeRequestId(Start + 5000, 9), KeyRange{8, {}}, Start + 5003) == DuplicateCheck::PossibleDuplicate);
    }

    void memoryIsInheritedButNotBeyondItsFloor()
    {
        constexpr UnixMilliseconds Start = 1800000000000;
        SeenRequests seen;
        seen.setKnownSince(Slice, Start + 60000);
        const RequestId ran = makeRequestId(Start + 30000, 1);
        seen.inherit(Slice, Start, {ran}, Start + 60000);
        CPPUNIT_ASSERT(seen.check(ran, Slice, Start + 60001) == DuplicateCheck::Duplicate);
        CPPUNIT_ASSERT(seen.check(makeRequestId(Start + 30000, 2), Slice, Start + 60001) == DuplicateCheck::Fresh);
        seen.limitHistory(Slice, Start + 50000);
        CPPUNIT_ASSERT(seen.check(makeRequestId(Start + 30000, 2), Slice, Start + 60001) == DuplicateCheck::PossibleDuplicate);
    }

    void dispatcherPauseDoesNotMarkServerLost()
    {
        ServerHealth health({}, at(0));
        health.recordFailure(at(5000));
        CPPUNIT_ASSERT(!health.isLost());
        health.recordFailure(at(5010));
        CPPUNIT_ASSERT(health.isLost());
        CPPUNIT_ASSERT(health.recordSuccess({"boot-1", false}, at(5020), at(5021)) == HealthChange::Recovered);
        CPPUNIT_ASSERT(health.recordSuccess({"boot-2", false}, at(5030), at(5031)) == HealthChange::Restarted);
    }

    void retriesAreBounded()
    {
        RetryBudget budget;
        int granted = 0;
        for (int index = 0; index < 1000; ++index) {
            budget.recordRequest();
            granted += budget.tryTake() ? 1 : 0;
        }
        CPPUNIT_ASSERT(granted <= 1000 * RetryBudget::Ratio + RetryBudget::Reserve);
        CPPUNIT_ASSERT(granted >= 1000 * RetryBudget::Ratio - 1);
    }

    void ratePartsAddUp()
    {
        constexpr std::size_t Instances = 10;
        int granted = 0;
        for (std::size_t instance = 0; instance < Instances; ++instance) {
            RateLimiter limiter(at(0));
            for (int millisecond = 0; millisecond < 10000; ++millisecond) {
                granted += limiter.tryTake(100, Instances, at(millisecond)) ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(granted >= 990 && granted <= 1020);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdmission);
