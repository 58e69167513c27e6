// Tests the placement of requests on servers that name a limit.
#include <LibPlacement/LibPlacement.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr Duration Step = 10ms;
constexpr Duration Window = 4s;
constexpr Duration ColdWindow = 1s;

TimePoint at(Duration sinceStart)
{
    return TimePoint(std::chrono::hours(1)) + sinceStart;
}

Service makeService(bool isSharded)
{
    Service service;
    service.name_ = "catalogue";
    service.warmup_ = 3s;
    service.warmupRate_ = 5;
    service.isSharded_ = isSharded;
    return service;
}

std::vector<PoolServerInput> makeServers(int count)
{
    std::vector<PoolServerInput> servers;
    for (int i = 0; i < count; ++i) {
        PoolServerInput input;
        input.description_.id_ = "s" + std::to_string(i);
        input.description_.service_ = "catalogue";
        input.description_.address_ = "127.0.0.1:1";
        input.description_.domain_ = "north";
        input.description_.slots_ = 20;
        input.description_.startTime_ = 7;
        input.describedAt_ = at(0s);
        servers.push_back(input);
    }
    return servers;
}

const ServerIncarnation Limited{"s0", 7};

// A pool and what its instance knows of servers.
struct Instance
{
    explicit Instance(int servers, bool isSharded, PoolScope scope, std::size_t instanceCount, std::uint64_t seed = 1)
        : pool_(makeService(isSharded), RetryBudgetSettings{0.2, 10, 10s}, seed, notices_)
    {
        pool_.setServers(makeServers(servers), at(0s));
        pool_.setScope(scope, instanceCount, at(0s));
        if (isSharded) {
            ShardAssignment assignment;
            assignment.ranges_.push_back({0, 65535, {"s0", 7, 1}, {}});
            pool_.setAssignment(assignment);
        }
    }

    void name(double limit, TimePoint now)
    {
        notices_->limits().recordNamed(Limited, limit, NoticeSource::Response, now, now);
    }

    std::shared_ptr<ServerNotices> notices_ = std::make_shared<ServerNotices>();
    ServicePool pool_;
};

// Offers requests to pools and records what each server gets.
class Traffic
{
public:
    // Each pool gets a request each `Step` from `begin` to `end`.
    void run(const std::vector<Instance *> &instances, Duration begin, Duration end, bool hasKeys = false)
    {
        for (Duration now = begin; now < end; now += Step) {
            for (std::size_t i = 0; i < instances.size(); ++i) {
                offer(instances[i]->pool_, i, at(now), hasKeys);
            }
        }
    }

    std::size_t arrivals(const std::string &server) const
    {
        const auto found = arrivals_.find(server);
        return found == arrivals_.end() ? 0 : found->second.size();
    }

    // The most requests that a server got in any window of that length.
    std::size_t mostInWindow(const std::string &server, Duration window = Window) const
    {
        const auto found = arrivals_.find(server);
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; found != arrivals_.end() && last < found->second.size(); ++last) {
            while (found->second[first] + window <= found->second[last]) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::size_t rejected_ = 0;
    std::optional<Rejection> lastRejection_;

private:
    void offer(ServicePool &pool, std::size_t instance, TimePoint now, bool hasKey)
    {
        PlacementRequest request;
        request.id_ = {"i" + std::to_string(instance), ++number_};
        request.workKind_ = "lookup";
        request.latencyObjectiveAt_ = now + 300ms;
        request.deadline_ = now + 800ms;
        request.assumedWork_ = 100ms;
        if (hasKey) {
            request.key_ = 5;
        }
        pool.enqueue(request, now);
        const auto decisions = pool.decide(now);
        for (const auto &placement : decisions.placements_) {
            arrivals_[placement.server_].push_back(now);
            PlacementReport report;
            report.outcome_ = PlacementOutcome::Answered;
            report.duration_ = 100ms;
            pool.finish(placement.id_, report, now);
        }
        rejected_ += decisions.rejections_.size();
        if (!decisions.rejections_.empty()) {
            lastRejection_ = decisions.rejections_.back();
        }
    }

    std::map<std::string, std::vector<TimePoint>> arrivals_;
    std::uint64_t number_ = 0;
};

// What a server that has named a limit may get in a window.
double allowed(double limit)
{
    return 1.5 * limit * std::chrono::duration<double>(Window).count() + 5;
}

// What a cold server may get in a second.
double allowedWhileCold()
{
    return 1.5 * makeService(false).warmupRate_ + 5;
}

std::vector<PoolServerInput> makeColdServers(Duration warmupLeft, Duration describedAt)
{
    auto servers = makeServers(1);
    servers[0].description_.warmupLeft_ = warmupLeft;
    servers[0].describedAt_ = at(describedAt);
    return servers;
}

} // namespace

class TestLimitedServers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLimitedServers);
    CPPUNIT_TEST(limitedServerGetsItsRateAndOthersTheRest);
    CPPUNIT_TEST(holderBeyondItsLimitIsToldWhenItIsFree);
    CPPUNIT_TEST(callersWhoReturnWhenToldAreServedByPriority);
    CPPUNIT_TEST(twoCoordinatorsStayWithinTheLimit);
    CPPUNIT_TEST(instancesThatBeginToDecideAloneTogetherStayWithinTheLimit);
    CPPUNIT_TEST(coldServerOfInstancesThatBeginToDecideAloneTogether);
    CPPUNIT_TEST(coldServerOfTwoCoordinators);
    CPPUNIT_TEST(coldServerIsSparedForRequestsSentByOthers);
    CPPUNIT_TEST(newCoordinatorStartsWithoutSavedRequests);
    CPPUNIT_TEST(limitThatFallsToATenth);
    CPPUNIT_TEST(limitOfZeroLeavesATrickle);
    CPPUNIT_TEST(serverIsUsedFullyWhenItsLimitEnds);
    CPPUNIT_TEST(newRunOfALimitedServerHasNoLimit);
    CPPUNIT_TEST(requestsSentByOthersAreCounted);
    CPPUNIT_TEST(healthChecksAreCounted);
    CPPUNIT_TEST(requestThatWasNotSentIsNotCounted);
    CPPUNIT_TEST(placementSaysWhetherItWasCounted);
    CPPUNIT_TEST(keysMoveOffALimitedHolder);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitedServerGetsItsRateAndOthersTheRest()
    {
        for (const double limit : {0.2, 1.8, 2.7, 10.0, 50.0}) {
            Instance instance(4, false, PoolScope::Shared, 3);
            Traffic traffic;
            instance.name(limit, at(0s));
            traffic.run({&instance}, 0s, 40s);
            CPPUNIT_ASSERT(static_cast<double>(traffic.mostInWindow("s0")) <= allowed(limit) / 2 + 2);
            // Not less than half of the limit goes unused while there is enough to do.
            CPPUNIT_ASSERT(static_cast<double>(traffic.arrivals("s0")) >= 0.5 * std::min(limit, 20.0) * 40);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), traffic.rejected_);
        }
    }

    void holderBeyondItsLimitIsToldWhenItIsFree()
    {
        Instance instance(2, true, PoolScope::Shared, 3);
        Traffic traffic;
        instance.name(0.5, at(0s));
        traffic.run({&instance}, 0s, 20s, true);
        CPPUNIT_ASSERT(traffic.arrivals("s0") > 3);
        CPPUNIT_ASSERT(static_cast<double>(traffic.mostInWindow("s0")) <= allowed(0.5));
        CPPUNIT_ASSERT(traffic.lastRejection_.has_value());
        CPPUNIT_ASSERT(traffic.lastRejection_->reason_ == RejectReason::ServerLimit);
        CPPUNIT_ASSERT_EQUAL(std::string("s0"), traffic.lastRejection_->limitedServer_);
        // At 0.35 a second the next request but one is free after 2.9 to 5.8 s.
        CPPUNIT_ASSERT(traffic.lastRejection_->retryAfter_ > 800ms);
        CPPUNIT_ASSERT(traffic.lastRejection_->retryAfter_ < 6s);
    }

    void callersWhoReturnWhenToldAreServedByPriority()
    {
        Instance instance(1, true, PoolScope::Shared, 3);
        instance.name(1, at(0s));
        const auto request = [](std::uint64_t number, std::uint32_t priority, TimePoint now) {
            PlacementRequest made;
            made.id_ = {"a", number};
            made.workKind_ = "lookup";
            made.priority_ = priority;
            made.latencyObjectiveAt_ = now + 300ms;
            made.deadline_ = now + 500ms;
            made.assumedWork_ = 100ms;
            made.key_ = 5;
            return made;
        };
        instance.pool_.enqueue(request(1, 1, at(0s)), at(0s));
        const auto first = instance.pool_.decide(at(0s));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.rejections_.size());
        const TimePoint then = at(0s) + first.rejections_.front().retryAfter_;
        instance.pool_.enqueue(request(2, 2, then), then);
        instance.pool_.enqueue(request(3, 1, then), then);
        const auto second = instance.pool_.decide(then);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.placements_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), second.placements_.front().id_.number_);
    }

    void twoCoordinatorsStayWithinTheLimit()
    {
        for (const double limit : {0.0, 0.2, 1.8, 10.0, 50.0}) {
            Instance one(1, true, PoolScope::Shared, 10, 1);
            Instance other(1, true, PoolScope::Shared, 10, 2);
            one.name(limit, at(0s));
            other.name(limit, at(0s));
            Traffic traffic;
            traffic.run({&one, &other}, 0s, 30s, true);
            CPPUNIT_ASSERT(static_cast<double>(traffic.mostInWindow("s0")) <= allowed(limit));
        }
    }

    // Guards against requests that each instance has saved while a coordinator decided, and sends when it is lost.
    void instancesThatBeginToDecideAloneTogetherStayWithinTheLimit()
    {
        for (const double limit : {0.2, 1.8, 10.0}) {
            Instance coordinator(1, true, PoolScope::Shared, 200, 1);
            coordinator.name(limit, at(0s));
            std::vector<std::unique_ptr<Instance>> owners;
            std::vector<Instance *> instances;
            for (std::uint64_t i = 0; i < 200; ++i) {
                owners.push_back(std::make_unique<Instance>(1, true, PoolScope::Local, 200, i + 2));
                owners.back()->name(limit, at(0s));
                instances.push_back(owners.back().get());
            }
            Traffic traffic;
            // All decide alone now and then, for a short while.
            for (int round = 0; round < 8; ++round) {
                traffic.run({&coordinator}, 8s * round, 8s * round + 6s, true);
                instances.push_back(&coordinator);
                traffic.run(instances, 8s * round + 6s, 8s * round + 8s, true);
                instances.pop_back();
            }
            CPPUNIT_ASSERT(static_cast<double>(traffic.mostInWindow("s0")) <= allowed(limit));
        }
    }

    void coldServerOfInstancesThatBeginToDecideAloneTogether()
    {
        std::vector<std::unique_ptr<Instance>> owners;
        std::vector<Instance *> instances;
        for (std::uint64_t i = 0; i < 10; ++i) {
            owners.push_back(std::make_unique<Instance>(1, false, PoolScope::Local, 10, i + 1));
            owners.back()->pool_.setServers(makeColdServers(30s, 20s), at(20s));
            instances.push_back(owners.back().get());
        }
        Traffic traffic;
        traffic.run(instances, 20s, 45s);
        CPPUNIT_ASSERT(traffic.arrivals("s0") > 10);
        CPPUNIT_ASSERT(static_cast<double>(traffic.mostInWindow("s0", ColdWindow)) <= allowedWhileCold());
    }

    void coldServerOfTwoCoordinators()
    {
        Instance one(1, false, PoolScope::Shared, 10, 1);
        Instance other(1, false, PoolScope::Shared, 10, 2);
        one.pool_.setServers(makeColdServers(30s, 20s), at(20s));
        other.pool_.setServers(makeColdServers(30s, 20s), at(20s));
        Traffic traffic;
        traffic.run({&one, &other}, 20s, 45s);
        CPPUNIT_ASSERT(traffic.arrivals("s0") > 100);
        CPPUNIT_ASSERT(static_cast<double>(traffic.mostInWindow("s0", ColdWindow)) <= allowedWhileCold());
    }

    void coldServerIsSparedForRequestsSentByOthers()
    {
        Instance instance(1, false, PoolScope::Shared, 3);
        instance.pool_.setServers(makeColdServers(30s, 20s), at(20s));
        for (int i = 0; i < 7; ++i) {
            instance.pool_.countForeignRequest(Limited, at(20s));
        }
        Traffic traffic;
        traffic.run({&instance}, 20s, 21s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), traffic.arrivals("s0"));
        // Requests of others are forgotten after some seconds, however many they were.
        for (int i = 0; i < 1000; ++i) {
            instance.pool_.countForeignRequest(Limited, at(21s));
        }
        traffic.run({&instance}, 21s, 30s);
        CPPUNIT_ASSERT(traffic.arrivals("s0") > 5);
    }

    void newCoordinatorStartsWithoutSavedRequests()
    {
        Instance before(1, true, PoolScope::Shared, 3);
        Instance after(1, true, PoolScope::Local, 3);
        before.name(10, at(0s));
        after.name(10, at(0s));
        Traffic traffic;
        traffic.run({&before}, 0s, 10s, true);
        after.pool_.setScope(PoolScope::Shared, 3, at(10s));
        traffic.run({&after}, 10s, 20s, true);
        CPPUNIT_ASSERT(traffic.mostInWindow("s0") <= 31);
    }

    void limitThatFallsToATenth()
    {
        Instance instance(1, true, PoolScope::Shared, 3);
        instance.name(20, at(0s));
        Traffic before;
        before.run({&instance}, 0s, 10s, true);
        instance.name(2, at(10s));
        Traffic after;
        after.run({&instance}, 10s, 20s, true);
        CPPUNIT_ASSERT(before.arrivals("s0") > 100);
        CPPUNIT_ASSERT(static_cast<double>(after.mostInWindow("s0")) <= allowed(2) / 2);
    }

    void limitOfZeroLeavesATrickle()
    {
        Instance instance(2, false, PoolScope::Shared, 3);
        instance.name(0, at(0s));
        Traffic traffic;
        traffic.run({&instance}, 0s, 40s);
        CPPUNIT_ASSERT(traffic.arrivals("s0") >= 5);
        CPPUNIT_ASSERT(traffic.mostInWindow("s0") <= 2);
    }

    void serverIsUsedFullyWhenItsLimitEnds()
    {
        Instance instance(1, true, PoolScope::Shared, 3);
        instance.name(1, at(0s));
        Traffic limited;
        limited.run({&instance}, 0s, 5s, true);
        CPPUNIT_ASSERT(limited.rejected_ > 400);
        instance.notices_->limits().recordAbsent(Limited, at(5s), at(5s));
        Traffic full;
        full.run({&instance}, 5s, 6s, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), full.rejected_);
        CPPUNIT_ASSERT(full.arrivals("s0") >= 100);
    }

    void newRunOfALimitedServerHasNoLimit()
    {
        Instance instance(1, true, PoolScope::Shared, 3);
        instance.name(1, at(0s));
        auto servers = makeServers(1);
        servers[0].description_.startTime_ = 8;
        instance.pool_.setServers(servers, at(1s));
        Traffic traffic;
        traffic.run({&instance}, 1s, 2s, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), traffic.arrivals("s0"));
    }

    void requestsSentByOthersAreCounted()
    {
        Instance instance(1, true, PoolScope::Shared, 3);
        instance.name(10, at(0s));
        Traffic before;
        before.run({&instance}, 0s, 5s, true);
        for (int i = 0; i < 20; ++i) {
            instance.pool_.countForeignRequest(Limited, at(5s));
        }
        // Counts for another run of the server.
        instance.pool_.countForeignRequest({"s0", 6}, at(5s));
        Traffic after;
        after.run({&instance}, 5s, 7500ms, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), after.arrivals("s0"));
        after.run({&instance}, 7500ms, 12s, true);
        CPPUNIT_ASSERT(after.arrivals("s0") > 20);
    }

    void healthChecksAreCounted()
    {
        Instance instance(1, true, PoolScope::Shared, 3);
        CPPUNIT_ASSERT(instance.pool_.tryCountHealthCheck("s0", at(0s)));
        instance.name(1, at(0s));
        std::size_t checks = 0;
        for (Duration now = 0s; now < 20s; now += Step) {
            checks += instance.pool_.tryCountHealthCheck("s0", at(now)) ? 1 : 0;
        }
        CPPUNIT_ASSERT(checks >= 10);
        CPPUNIT_ASSERT(checks <= 15);
    }

    void requestThatWasNotSentIsNotCounted()
    {
        Instance instance(1, true, PoolScope::Shared, 3);
        instance.name(1, at(0s));
        PlacementRequest request;
        request.id_ = {"a", 1};
        request.workKind_ = "lookup";
        request.key_ = 5;
        request.latencyObjectiveAt_ = at(10s);
        request.deadline_ = at(10s);
        instance.pool_.enqueue(request, at(0s));
        instance.pool_.decide(at(0s));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), instance.pool_.decide(at(2s)).placements_.size());
        instance.pool_.finish(request.id_, PlacementReport(), at(2s));
        request.id_.number_ = 2;
        instance.pool_.enqueue(request, at(2s));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), instance.pool_.decide(at(2s)).placements_.size());
    }

    void placementSaysWhetherItWasCounted()
    {
        Instance instance(1, true, PoolScope::Shared, 3);
        PlacementRequest request;
        request.id_ = {"a", 1};
        request.workKind_ = "lookup";
        request.key_ = 5;
        request.latencyObjectiveAt_ = at(100s);
        request.deadline_ = at(100s);
        const auto knowledgeAt = [&](Duration now) {
            ++request.id_.number_;
            instance.pool_.enqueue(request, at(now));
            const auto decisions = instance.pool_.decide(at(now));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.placements_.size());
            return decisions.placements_.front().limit_;
        };
        CPPUNIT_ASSERT(knowledgeAt(0s) == LimitKnowledge::None);
        instance.name(1, at(1s));
        instance.pool_.tryCountHealthCheck("s0", at(1s));
        CPPUNIT_ASSERT(knowledgeAt(4s) == LimitKnowledge::Counted);
        instance.notices_->limits().recordAbsent(Limited, at(5s), at(6s));
        CPPUNIT_ASSERT(knowledgeAt(6s) == LimitKnowledge::Ended);
    }

    void keysMoveOffALimitedHolder()
    {
        KeyLoad load;
        ShardAssignment assignment;
        std::vector<ServerLoadView> servers;
        for (int i = 0; i < 4; ++i) {
            const auto first = static_cast<ShardKey>(i * 16384);
            assignment.ranges_.push_back({first, static_cast<ShardKey>(first + 16383), {"s" + std::to_string(i), 7, FencingToken(i + 1)}, {}});
            servers.push_back({"s" + std::to_string(i), 7, 2});
        }
        assignment.nextToken_ = 5;
        for (int i = 0; i < 200; ++i) {
            load.record(static_cast<ShardKey>(i * 6151), 90ms, at(50ms * i));
        }
        const auto now = at(10s);
        CPPUNIT_ASSERT(planBalance(assignment, servers, load, now) == assignment);
        // Each holder gets five requests a second of 90 ms.
        servers[0].limitedSlots_ = 1.26 * 0.09;
        const auto limited = planBalance(assignment, servers, load, now);
        double left = 0;
        for (const auto &range : limited.ranges_) {
            if (range.holder_.server_ == "s0") {
                left += load.load(range.first_, range.last_, now);
            }
        }
        CPPUNIT_ASSERT(left < 0.5 * load.load(0, 16383, now));
        // The end of the limit alone is no reason to move keys back.
        servers[0].limitedSlots_.reset();
        CPPUNIT_ASSERT(planBalance(limited, servers, load, now) == limited);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLimitedServers);
