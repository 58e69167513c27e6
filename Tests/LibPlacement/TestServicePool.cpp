// Tests the queue and placement decisions of ServicePool.
#include <LibPlacement/LibPlacement.h>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <queue>
#include <set>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

Service makeService(bool isSharded = false)
{
    Service service;
    service.name_ = "catalogue";
    service.warmup_ = 3s;
    service.warmupRate_ = 5;
    service.isSharded_ = isSharded;
    return service;
}

PoolServerInput makeServer(const std::string &id, std::uint32_t slots, TimePoint now)
{
    PoolServerInput input;
    input.description_.id_ = id;
    input.description_.service_ = "catalogue";
    input.description_.address_ = "127.0.0.1:1";
    input.description_.domain_ = "north";
    input.description_.slots_ = slots;
    input.description_.startTime_ = 7;
    input.describedAt_ = now;
    return input;
}

std::vector<PoolServerInput> makeServers(int count, std::uint32_t slots, TimePoint now)
{
    std::vector<PoolServerInput> servers;
    for (int i = 0; i < count; ++i) {
        servers.push_back(makeServer("s" + std::to_string(i), slots, now));
    }
    return servers;
}

PlacementRequest makeRequest(std::uint64_t number, TimePoint now, Duration latencyObjective = 300ms, Duration deadline = 800ms)
{
    PlacementRequest request;
    request.id_ = {"a", number};
    request.workKind_ = "lookup";
    request.latencyObjectiveAt_ = now + latencyObjective;
    request.deadline_ = now + deadline;
    request.assumedWork_ = 100ms;
    return request;
}

PlacementReport makeReport(PlacementOutcome outcome, Duration duration = 100ms)
{
    PlacementReport report;
    report.outcome_ = outcome;
    report.duration_ = duration;
    return report;
}

// A pool that places requests for all instances.
ServicePool
makePool(int servers, std::uint32_t slots, bool isSharded = false, const std::shared_ptr<const ServerNotices> &notices = std::make_shared<ServerNotices>())
{
    ServicePool pool(makeService(isSharded), RetryBudgetSettings{0.2, 10, 10s}, 1, notices);
    pool.setScope(PoolScope::Shared, 3, at(0));
    pool.setServers(makeServers(servers, slots, at(0)), at(0));
    return pool;
}

} // namespace

class TestServicePool : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestServicePool);
    CPPUNIT_TEST(requestsBeyondTheSlotsWait);
    CPPUNIT_TEST(requestsThatWouldMissTheirDeadlineAreRejected);
    CPPUNIT_TEST(urgentRequestsGoFirst);
    CPPUNIT_TEST(retriesOfRejectedRequestsGoFirst);
    CPPUNIT_TEST(lateRequestsGoLast);
    CPPUNIT_TEST(slowServerIsPassedOverUntilItIsTheBest);
    CPPUNIT_TEST(serverReportingHighDelayIsAvoided);
    CPPUNIT_TEST(briefSlownessDoesNotRejectLaterRequests);
    CPPUNIT_TEST(slotIsReservedForUrgentRequests);
    CPPUNIT_TEST(coldServerGetsItsRateOnly);
    CPPUNIT_TEST(suspectServerCountsAsCold);
    CPPUNIT_TEST(coldServersShareIsDividedWhenDecidingAlone);
    CPPUNIT_TEST(drainingAndEvacuatedServersGetNothing);
    CPPUNIT_TEST(serverThatAnnouncedItsLeavingGetsNothing);
    CPPUNIT_TEST(heldBackServerIsGivenToOtherInstancesOnly);
    CPPUNIT_TEST(requestIsRejectedAtOnceIfEveryServerIsHeldBack);
    CPPUNIT_TEST(requestForAKeyIsRejectedAtOnceIfItsHolderIsHeldBack);
    CPPUNIT_TEST(retriesAreBounded);
    CPPUNIT_TEST(failingServerIsAvoided);
    CPPUNIT_TEST(keysGoToTheirHolderOnly);
    CPPUNIT_TEST(keysThatAreNotHeldYetWait);
    CPPUNIT_TEST(requestIsRejectedAtOnceIfItsKeyIsHeldTooLate);
    CPPUNIT_TEST(slotsOfALostInstanceAreFreed);
    CPPUNIT_TEST(existingPlacementsAreRestored);
    CPPUNIT_TEST(overloadServesMoreThanTwoChoices);
    CPPUNIT_TEST(loadViewsContainReportedSpeed);
    CPPUNIT_TEST(serversOfUnknownSpeedAreProbed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a load view that ignores reported speed: the requests of this server take exactly the reported half of the usual
    // time, so that its measured slowness stays near 1 although it is twice as fast.
    void loadViewsContainReportedSpeed()
    {
        auto pool = makePool(2, 2);
        std::uint64_t number = 0;
        for (int now = 0; now < 5000; now += 100) {
            const double factors[] = {0.5, 1.5};
            for (int i = 0; i < 2; ++i) {
                pool.enqueue(makeRequest(++number, at(now)), at(now));
            }
            for (const auto &placed : pool.decide(at(now)).placements_) {
                const double factor = factors[placed.server_ == "s0" ? 0 : 1];
                auto report = makeReport(PlacementOutcome::Answered, scaled(Duration(60ms), factor));
                report.load_ = ReportedLoad{1, 0, 2, factor};
                pool.finish(placed.id_, report, at(now + 90));
            }
        }
        const auto loads = pool.serverLoads(at(5000));
        CPPUNIT_ASSERT(loads[0].slowness_ < 0.7);
        // The slow server was sent at least one request.
        CPPUNIT_ASSERT(loads[1].slowness_ > 1.2);
    }

    // Guards against rejecting queued requests because of a brief slowdown: other workloads slow a server threefold for a few hundred
    // milliseconds, while the requests for its keys have to wait for it.
    void briefSlownessDoesNotRejectLaterRequests()
    {
        auto pool = makePool(1, 1);
        for (int now = 0; now <= 10000; now += 500) {
            pool.recordHealthCheck("s0", Duration::zero(), ReportedLoad{0, 0, 1, now == 10000 ? 3.0 : 1.0}, at(now));
        }
        for (std::uint64_t number = 1; number <= 3; ++number) {
            pool.enqueue(makeRequest(number, at(10000)), at(10000));
        }
        const auto decisions = pool.decide(at(10000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.placements_.size());
        CPPUNIT_ASSERT(decisions.rejections_.empty());
        // A request that starts now takes three times as long and is rejected if it would miss its deadline.
        pool.finish(decisions.placements_.front().id_, makeReport(PlacementOutcome::Abandoned), at(10001));
        pool.cancel({"a", 2});
        pool.cancel({"a", 3});
        pool.enqueue(makeRequest(4, at(10001), 100ms, 150ms), at(10001));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.decide(at(10001)).rejections_.size());
    }

    void serversOfUnknownSpeedAreProbed()
    {
        auto pool = makePool(2, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pool.serversToProbe(at(0)).size());
        pool.recordHealthCheck("s0", Duration::zero(), ReportedLoad{0, 0, 2, 0.5}, at(1));
        // Some servers report no load; one successful health check is sufficient for them.
        pool.recordHealthCheck("s1", Duration::zero(), std::nullopt, at(1));
        CPPUNIT_ASSERT(pool.serversToProbe(at(1)).empty());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, pool.serverLoads(at(2))[0].slowness_, 1e-9);
    }

    void requestsBeyondTheSlotsWait()
    {
        auto pool = makePool(1, 2);
        for (std::uint64_t i = 1; i <= 3; ++i) {
            pool.enqueue(makeRequest(i, at(0)), at(0));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pool.decide(at(0)).placements_.size());
        CPPUNIT_ASSERT(pool.hasWaiting());
        pool.finish({"a", 1}, makeReport(PlacementOutcome::Answered), at(100));
        const auto next = pool.decide(at(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.placements_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), next.placements_.front().id_.number_);
    }

    void requestsThatWouldMissTheirDeadlineAreRejected()
    {
        auto pool = makePool(1, 1);
        for (std::uint64_t i = 1; i <= 10; ++i) {
            pool.enqueue(makeRequest(i, at(0), 300ms, 500ms), at(0));
        }
        const auto decisions = pool.decide(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.placements_.size());
        CPPUNIT_ASSERT(decisions.rejections_.size() >= 5);
        for (const auto &rejected : decisions.rejections_) {
            CPPUNIT_ASSERT(rejected.reason_ == RejectReason::Overload);
            CPPUNIT_ASSERT(rejected.retryAfter_ > Duration::zero());
        }
    }

    void urgentRequestsGoFirst()
    {
        auto pool = makePool(1, 1);
        pool.enqueue(makeRequest(1, at(0)), at(0));
        pool.decide(at(0));
        auto lowPriority = makeRequest(2, at(1), 600ms, 1500ms);
        lowPriority.priority_ = 2;
        auto urgent = makeRequest(3, at(2), 600ms, 1500ms);
        urgent.priority_ = 1;
        pool.enqueue(lowPriority, at(2));
        pool.enqueue(urgent, at(2));
        pool.decide(at(2));
        pool.finish({"a", 1}, makeReport(PlacementOutcome::Answered), at(100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), pool.decide(at(100)).placements_.front().id_.number_);
    }

    void retriesOfRejectedRequestsGoFirst()
    {
        auto pool = makePool(1, 1);
        pool.enqueue(makeRequest(1, at(0)), at(0));
        pool.decide(at(0));
        pool.enqueue(makeRequest(2, at(1)), at(1));
        auto back = makeRequest(3, at(2));
        back.isCallerRetry_ = true;
        pool.enqueue(back, at(2));
        pool.finish({"a", 1}, makeReport(PlacementOutcome::Answered), at(50));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), pool.decide(at(50)).placements_.front().id_.number_);
    }

    void lateRequestsGoLast()
    {
        auto pool = makePool(1, 1);
        pool.enqueue(makeRequest(1, at(0)), at(0));
        pool.decide(at(0));
        // When the slot becomes free, the second request can no longer meet its latency objective; the third can.
        pool.enqueue(makeRequest(2, at(0), 120ms, 2000ms), at(0));
        pool.enqueue(makeRequest(3, at(90), 300ms, 2000ms), at(90));
        pool.finish({"a", 1}, makeReport(PlacementOutcome::Answered), at(100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), pool.decide(at(100)).placements_.front().id_.number_);
    }

    void slowServerIsPassedOverUntilItIsTheBest()
    {
        auto pool = makePool(2, 1);
        // s0 is measured as twelve times slower than s1.
        std::uint64_t number = 1;
        int now = 0;
        for (int i = 0; i < 40; ++i) {
            pool.observe("s0", "lookup", makeReport(PlacementOutcome::Answered, 1200ms), at(now));
            pool.observe("s1", "lookup", makeReport(PlacementOutcome::Answered, 100ms), at(now));
            now += 10;
        }
        now += 1000;
        pool.enqueue(makeRequest(number, at(now), 300ms, 3000ms), at(now));
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), pool.decide(at(now)).placements_.front().server_);
        // The fast server is busy, but waiting for it completes sooner than execution on the slow one.
        pool.enqueue(makeRequest(number + 1, at(now), 300ms, 3000ms), at(now));
        CPPUNIT_ASSERT(pool.decide(at(now)).placements_.empty());
    }

    void serverReportingHighDelayIsAvoided()
    {
        auto pool = makePool(2, 2);
        auto slow = makeReport(PlacementOutcome::Abandoned);
        slow.load_ = ReportedLoad{1, 0, 2, 3.0};
        pool.observe("s0", "lookup", slow, at(10));
        pool.enqueue(makeRequest(1, at(20)), at(20));
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), pool.decide(at(20)).placements_.front().server_);
    }

    void slotIsReservedForUrgentRequests()
    {
        auto pool = makePool(4, 1);
        auto urgent = makeRequest(1, at(0));
        urgent.priority_ = 1;
        pool.enqueue(urgent, at(0));
        for (std::uint64_t i = 2; i <= 6; ++i) {
            auto lowPriority = makeRequest(i, at(0), 600ms, 3000ms);
            lowPriority.priority_ = 2;
            pool.enqueue(lowPriority, at(0));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), pool.decide(at(0)).placements_.size());
        auto next = makeRequest(7, at(10));
        next.priority_ = 1;
        pool.enqueue(next, at(10));
        const auto decisions = pool.decide(at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.placements_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), decisions.placements_.front().id_.number_);
    }

    void coldServerGetsItsRateOnly()
    {
        auto pool = makePool(1, 100);
        auto server = makeServer("s0", 100, at(0));
        server.description_.warmupLeft_ = 10s;
        pool.setServers({server}, at(0));
        std::uint64_t number = 1;
        std::vector<int> sentAt;
        for (int now = 0; now < 5000; now += 10) {
            pool.enqueue(makeRequest(number++, at(now), 100ms, 5000ms), at(now));
            for (const auto &placed : pool.decide(at(now)).placements_) {
                pool.finish(placed.id_, makeReport(PlacementOutcome::Answered, 1ms), at(now));
                sentAt.push_back(now);
            }
        }
        // The contract allows 1.5 times the rate plus 5 requests in any second; this instance uses only the rate.
        for (std::size_t i = 0; i < sentAt.size(); ++i) {
            std::size_t end = i;
            while (end < sentAt.size() && sentAt[end] < sentAt[i] + 1000) {
                ++end;
            }
            CPPUNIT_ASSERT(end - i <= 12);
        }
        CPPUNIT_ASSERT(sentAt.size() >= 15);
    }

    void suspectServerCountsAsCold()
    {
        auto pool = makePool(1, 100);
        pool.observe("s0", "lookup", makeReport(PlacementOutcome::Lost), at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.serversToProbe(at(1)).size());
        for (std::uint64_t i = 1; i <= 20; ++i) {
            pool.enqueue(makeRequest(i, at(1), 300ms, 8000ms), at(1));
        }
        CPPUNIT_ASSERT(pool.decide(at(1)).placements_.size() <= 2);
        pool.recordHealthCheck("s0", Duration::zero(), std::nullopt, at(10));
        CPPUNIT_ASSERT(pool.serversToProbe(at(10)).empty());
        CPPUNIT_ASSERT(pool.decide(at(10)).placements_.size() >= 10);
    }

    void coldServersShareIsDividedWhenDecidingAlone()
    {
        ServicePool pool(makeService(), RetryBudgetSettings{0.2, 10, 10s}, 1);
        pool.setScope(PoolScope::Local, 10, at(0));
        auto server = makeServer("s0", 100, at(0));
        server.description_.warmupLeft_ = 100s;
        pool.setServers({server}, at(0));
        std::uint64_t number = 1;
        std::size_t sent = 0;
        for (int now = 0; now < 10000; now += 10) {
            pool.enqueue(makeRequest(number++, at(now), 100ms, 5000ms), at(now));
            for (const auto &placed : pool.decide(at(now)).placements_) {
                pool.finish(placed.id_, makeReport(PlacementOutcome::Answered, 1ms), at(now));
                ++sent;
            }
        }
        // Ten instances that cannot reach each other together stay below the rate of 5 requests per second.
        CPPUNIT_ASSERT(sent <= 5);
    }

    void drainingAndEvacuatedServersGetNothing()
    {
        auto pool = makePool(3, 1);
        auto servers = makeServers(3, 1, at(0));
        servers[0].description_.state_ = ServerState::Draining;
        servers[1].isEvacuated_ = true;
        pool.setServers(servers, at(0));
        for (std::uint64_t i = 1; i <= 3; ++i) {
            pool.enqueue(makeRequest(i, at(0)), at(0));
        }
        const auto decisions = pool.decide(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.placements_.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), decisions.placements_.front().server_);
        pool.setServers({servers[0], servers[1]}, at(1));
        pool.enqueue(makeRequest(9, at(1)), at(1));
        const auto none = pool.decide(at(1));
        CPPUNIT_ASSERT(!none.rejections_.empty());
        CPPUNIT_ASSERT(none.rejections_.back().reason_ == RejectReason::NoServer);
    }

    // Guards against planning by the store's entry alone: the server itself has said that it is leaving.
    void serverThatAnnouncedItsLeavingGetsNothing()
    {
        const auto notices = std::make_shared<ServerNotices>();
        auto pool = makePool(2, 2, false, notices);
        notices->recordLeaving({"s0", 7}, {LeavingReason::Announced, NoticeSource::Peer, at(0), at(0), {}}, at(0));
        for (std::uint64_t i = 0; i < 4; ++i) {
            pool.enqueue(makeRequest(i, at(1)), at(1));
        }
        const auto decisions = pool.decide(at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decisions.placements_.size());
        for (const auto &placement : decisions.placements_) {
            CPPUNIT_ASSERT_EQUAL(std::string("s1"), placement.server_);
        }
        CPPUNIT_ASSERT(!pool.serverLoads(at(1)).front().isEligible_);
        const auto probed = pool.serversToProbe(at(1));
        CPPUNIT_ASSERT(std::ranges::find(probed, "s0") == probed.end());
    }

    void heldBackServerIsGivenToOtherInstancesOnly()
    {
        const auto notices = std::make_shared<ServerNotices>();
        auto pool = makePool(2, 2, false, notices);
        notices->holdBack({"s0", 7}, "a", 1000ms, at(0));
        for (std::uint64_t i = 0; i < 4; ++i) {
            auto request = makeRequest(i, at(1));
            request.id_.instance_ = i < 2 ? "a" : "b";
            pool.enqueue(std::move(request), at(1));
        }
        for (const auto &placement : pool.decide(at(1)).placements_) {
            CPPUNIT_ASSERT(placement.id_.instance_ == "b" || placement.server_ == "s1");
        }
        auto alone = makePool(1, 2, false, notices);
        alone.enqueue(makeRequest(9, at(1000)), at(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), alone.decide(at(1000)).placements_.size());
    }

    void requestIsRejectedAtOnceIfEveryServerIsHeldBack()
    {
        const auto notices = std::make_shared<ServerNotices>();
        auto pool = makePool(2, 2, false, notices);
        notices->holdBack({"s0", 7}, "a", 1000ms, at(0));
        notices->holdBack({"s1", 7}, "a", 700ms, at(0));
        std::set<Duration> waits;
        for (std::uint64_t i = 0; i < 8; ++i) {
            pool.enqueue(makeRequest(i, at(0)), at(0));
        }
        const auto decisions = pool.decide(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), decisions.rejections_.size());
        for (const auto &rejection : decisions.rejections_) {
            CPPUNIT_ASSERT(rejection.reason_ == RejectReason::HeldBack);
            CPPUNIT_ASSERT(rejection.retryAfter_ >= 700ms && rejection.retryAfter_ <= 800ms);
            waits.insert(rejection.retryAfter_);
        }
        CPPUNIT_ASSERT(waits.size() > 4);
    }

    void requestForAKeyIsRejectedAtOnceIfItsHolderIsHeldBack()
    {
        const auto notices = std::make_shared<ServerNotices>();
        auto pool = makePool(2, 2, true, notices);
        ShardAssignment assignment;
        assignment.ranges_ = {{0, 32767, {"s0", 7, 1}, {}}, {32768, 65535, {"s1", 7, 2}, {}}};
        pool.setAssignment(assignment);
        notices->holdBack({"s0", 7}, "a", 900ms, at(0));
        for (const ShardKey key : {ShardKey(5), ShardKey(40000)}) {
            auto request = makeRequest(key, at(0));
            request.key_ = key;
            pool.enqueue(std::move(request), at(0));
        }
        const auto decisions = pool.decide(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.placements_.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), decisions.placements_.front().server_);
        CPPUNIT_ASSERT(decisions.rejections_.front().reason_ == RejectReason::HeldBack);
        CPPUNIT_ASSERT(decisions.rejections_.front().retryAfter_ >= 900ms);
    }

    void retriesAreBounded()
    {
        auto pool = makePool(1, 1000);
        std::size_t allowed = 0;
        for (std::uint64_t i = 1; i <= 100; ++i) {
            pool.enqueue(makeRequest(i, at(0)), at(0));
            pool.decide(at(0));
            auto repeat = makeRequest(1000 + i, at(0));
            repeat.attempt_ = AttemptKind::Retry;
            pool.enqueue(repeat, at(0));
            allowed += pool.decide(at(0)).placements_.size();
        }
        // 0.2 retries for each of 100 requests and 10 in addition.
        CPPUNIT_ASSERT(allowed <= 30);
        CPPUNIT_ASSERT(allowed >= 10);
    }

    void failingServerIsAvoided()
    {
        auto pool = makePool(2, 2);
        for (int i = 0; i < 10; ++i) {
            pool.observe("s0", "lookup", makeReport(PlacementOutcome::Shed), at(i));
        }
        pool.enqueue(makeRequest(1, at(100)), at(100));
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), pool.decide(at(100)).placements_.front().server_);
    }

    void keysGoToTheirHolderOnly()
    {
        auto pool = makePool(2, 1, true);
        ShardAssignment assignment;
        assignment.ranges_ = {{0, 32767, {"s0", 7, 1}, {}}, {32768, 65535, {"s1", 7, 2}, {}}};
        pool.setAssignment(assignment);
        auto first = makeRequest(1, at(0));
        first.key_ = 40000;
        pool.enqueue(first, at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), pool.decide(at(0)).placements_.front().server_);
        auto second = makeRequest(2, at(0));
        second.key_ = 40001;
        pool.enqueue(second, at(0));
        CPPUNIT_ASSERT(pool.decide(at(0)).placements_.empty());
        pool.setServers({makeServer("s0", 1, at(0))}, at(1));
        auto third = makeRequest(3, at(1));
        third.key_ = 40002;
        pool.enqueue(third, at(1));
        const auto decisions = pool.decide(at(1));
        CPPUNIT_ASSERT(!decisions.rejections_.empty());
        CPPUNIT_ASSERT(decisions.rejections_.front().reason_ == RejectReason::NoOwner);
    }

    void keysThatAreNotHeldYetWait()
    {
        auto pool = makePool(1, 1, true);
        ShardAssignment assignment;
        assignment.ranges_ = {{0, 65535, {"s0", 7, 1}, {}}};
        pool.setAssignment(assignment);
        pool.setPendingRanges({{0, 65535, at(150)}});
        auto request = makeRequest(1, at(0));
        request.key_ = 5;
        pool.enqueue(request, at(0));
        CPPUNIT_ASSERT(pool.decide(at(0)).placements_.empty());
        pool.setPendingRanges({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.decide(at(50)).placements_.size());
    }

    // Guards against requests that wait to their deadline for a key whose holder gets it only after a grant has expired.
    void requestIsRejectedAtOnceIfItsKeyIsHeldTooLate()
    {
        auto pool = makePool(1, 2, true);
        ShardAssignment assignment;
        assignment.ranges_ = {{0, 9, {"s0", 7, 1}, {}}, {10, 65535, {"s0", 7, 2}, {}}};
        pool.setAssignment(assignment);
        pool.setPendingRanges({{0, 9, at(3200)}});
        for (const ShardKey key : {ShardKey(5), ShardKey(10)}) {
            auto request = makeRequest(key, at(0));
            request.key_ = key;
            pool.enqueue(request, at(0));
        }
        const auto decisions = pool.decide(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.placements_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), decisions.placements_.front().id_.number_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.rejections_.size());
        CPPUNIT_ASSERT(decisions.rejections_.front().reason_ == RejectReason::Overload);
        CPPUNIT_ASSERT(decisions.rejections_.front().retryAfter_ >= 1s);
        // Shortly before the holder gets the key, a request waits for it.
        auto request = makeRequest(6, at(2900));
        request.key_ = 6;
        pool.enqueue(request, at(2900));
        const auto later = pool.decide(at(2900));
        CPPUNIT_ASSERT(later.placements_.empty() && later.rejections_.empty());
    }

    void slotsOfALostInstanceAreFreed()
    {
        auto pool = makePool(1, 1);
        pool.enqueue(makeRequest(1, at(0)), at(0));
        pool.decide(at(0));
        auto other = makeRequest(2, at(0));
        other.id_.instance_ = "b";
        pool.enqueue(other, at(0));
        CPPUNIT_ASSERT(pool.decide(at(0)).placements_.empty());
        pool.removeInstance("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.decide(at(1)).placements_.size());
    }

    void existingPlacementsAreRestored()
    {
        auto pool = makePool(1, 1);
        pool.restorePlacement({"b", 5}, "s0", "lookup", at(0));
        pool.enqueue(makeRequest(1, at(0)), at(0));
        CPPUNIT_ASSERT(pool.decide(at(0)).placements_.empty());
        pool.finish({"b", 5}, makeReport(PlacementOutcome::Answered), at(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.decide(at(60)).placements_.size());
    }

    void overloadServesMoreThanTwoChoices();
};

namespace {

// Simulates requests on servers of different speed in logical time and counts those that complete within their latency objective.
struct OverloadSimulation
{
    struct Job
    {
        TimePoint endsAt_;
        std::uint64_t number_ = 0;
        std::size_t server_ = 0;
        TimePoint startedAt_;

        bool operator>(const Job &other) const
        {
            return endsAt_ > other.endsAt_;
        }
    };

    static constexpr int ServerCount = 12;
    static constexpr int Slots = 2;
    static constexpr int Seconds = 20;

    static double speedOf(std::size_t server)
    {
        constexpr double Speeds[] = {0.6, 1.0, 1.4};
        return Speeds[server % 3];
    }

    // Requests of 100 ms on average, at 1.15 times the capacity of the servers.
    static std::vector<std::pair<TimePoint, Duration>> arrivals()
    {
        std::mt19937 random(5);
        std::vector<std::pair<TimePoint, Duration>> all;
        std::exponential_distribution<double> gap(ServerCount * Slots * 10 * 1.15);
        std::lognormal_distribution<double> work(std::log(0.1) - 0.045, 0.3);
        for (double now = 0; now < Seconds; now += gap(random)) {
            all.emplace_back(at(static_cast<int>(now * 1000)), std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work(random))));
        }
        return all;
    }

    static int withPool()
    {
        auto pool = makePool(ServerCount, Slots);
        const auto all = arrivals();
        std::priority_queue<Job, std::vector<Job>, std::greater<>> running;
        int withinObjective = 0;
        const auto start = [&](TimePoint now) {
            for (const auto &placed : pool.decide(now).placements_) {
                const auto server = static_cast<std::size_t>(std::stoi(placed.server_.substr(1)));
                const auto work = all[placed.id_.number_].second;
                running.push(
                    {now + Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) / speedOf(server))), placed.id_.number_, server, now});
            }
        };
        const auto finishUntil = [&](TimePoint now) {
            while (!running.empty() && running.top().endsAt_ <= now) {
                const auto job = running.top();
                running.pop();
                withinObjective += job.endsAt_ - all[job.number_].first <= 300ms ? 1 : 0;
                pool.finish({"a", job.number_}, makeReport(PlacementOutcome::Answered, job.endsAt_ - job.startedAt_), job.endsAt_);
                start(job.endsAt_);
            }
        };
        for (std::uint64_t i = 0; i < all.size(); ++i) {
            finishUntil(all[i].first);
            pool.enqueue(makeRequest(i, all[i].first), all[i].first);
            start(all[i].first);
        }
        finishUntil(at(Seconds * 1000 + 5000));
        return withinObjective;
    }

    // Baseline: the less loaded of two random servers; requests queue at the server.
    static int withTwoChoices()
    {
        std::mt19937 random(9);
        std::vector<std::vector<TimePoint>> freeAt(ServerCount, std::vector<TimePoint>(Slots, at(0)));
        std::vector<std::vector<TimePoint>> ends(ServerCount);
        int withinObjective = 0;
        for (const auto &arrival : arrivals()) {
            const TimePoint now = arrival.first;
            const Duration work = arrival.second;
            const auto load = [&](std::size_t server) {
                return std::ranges::count_if(ends[server], [now](TimePoint end) {
                    return end > now;
                });
            };
            const std::size_t first = random() % ServerCount;
            const std::size_t second = random() % ServerCount;
            const std::size_t server = load(first) <= load(second) ? first : second;
            auto &slot = *std::ranges::min_element(freeAt[server]);
            const TimePoint begin = std::max(slot, now);
            slot = begin + Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) / speedOf(server)));
            ends[server].push_back(slot);
            withinObjective += slot - now <= 300ms ? 1 : 0;
        }
        return withinObjective;
    }
};

} // namespace

void TestServicePool::overloadServesMoreThanTwoChoices()
{
    const int pool = OverloadSimulation::withPool();
    const int baseline = OverloadSimulation::withTwoChoices();
    // The capacity of the servers in the simulated time is 4,800 requests of average length.
    CPPUNIT_ASSERT(pool > baseline);
    CPPUNIT_ASSERT(pool >= 4800 * 85 / 100);
}

CPPUNIT_TEST_SUITE_REGISTRATION(TestServicePool);
