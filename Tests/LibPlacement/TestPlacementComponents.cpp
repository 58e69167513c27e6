// Tests the small components of LibPlacement and route look-up.
#include <LibPlacement/LibPlacement.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

} // namespace

class TestPlacementComponents : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlacementComponents);
    CPPUNIT_TEST(rotationKeepsWeightsExactly);
    CPPUNIT_TEST(rotationFollowsNewWeights);
    CPPUNIT_TEST(rotationsOfSeveralInstancesKeepTheWeights);
    CPPUNIT_TEST(sharedRateStartsEmpty);
    CPPUNIT_TEST(savedRequestsOfASharedRateAreBounded);
    CPPUNIT_TEST(fractionOfASharedRateSavesNothing);
    CPPUNIT_TEST(retryBudgetWindowSlides);
    CPPUNIT_TEST(twoCoordinatorsStayWithinTheRetryBudget);
    CPPUNIT_TEST(dividedRetryBudgetStaysWithinTheTotal);
    CPPUNIT_TEST(workAndSpeedAreLearned);
    CPPUNIT_TEST(reportedSpeedOutlastsTheReport);
    CPPUNIT_TEST(keyLoadDecays);
    CPPUNIT_TEST(coordinatorRanksAreAPermutation);
    CPPUNIT_TEST(instancesWithMostProcessorPerServiceCoordinate);
    CPPUNIT_TEST(muchLargerInstanceTakesOver);
    CPPUNIT_TEST(everyDomainHasOneWatcher);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST_SUITE_END();

public:
    void rotationKeepsWeightsExactly()
    {
        WeightedRotation rotation;
        const std::vector<WeightedService> services{{"a", 90}, {"b", 10}};
        std::map<std::string, int> counts;
        for (int i = 0; i < 200; ++i) {
            ++counts[rotation.next(services)];
        }
        CPPUNIT_ASSERT_EQUAL(180, counts["a"]);
        CPPUNIT_ASSERT_EQUAL(20, counts["b"]);
    }

    void rotationFollowsNewWeights()
    {
        WeightedRotation rotation;
        rotation.next({{"a", 1}, {"b", 1}});
        const std::vector<WeightedService> onlyB{{"a", 0}, {"b", 3}};
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("b"), rotation.next(onlyB));
        }
    }

    // Shares are judged over 200 requests or more at all instances, also right after a change of the configuration.
    void rotationsOfSeveralInstancesKeepTheWeights()
    {
        constexpr double MaxDifference = 0.2;
        constexpr int Requests = 200;
        const std::vector<std::vector<WeightedService>> versions{
            {{"a", 90}, {"b", 10}}, {{"a", 1}, {"b", 1}, {"c", 1}}, {{"b", 3}, {"a", 97}}, {{"c", 5}, {"a", 4}, {"b", 1}}};
        for (const std::size_t instances : {1U, 3U, 12U, 40U}) {
            std::mt19937_64 random(instances);
            std::vector<WeightedRotation> rotations(instances);
            for (int round = 0; round < 50; ++round) {
                const auto &services = versions[static_cast<std::size_t>(round) % versions.size()];
                std::map<std::string, int> counts;
                int total = 0;
                for (const auto &service : services) {
                    total += static_cast<int>(service.weight_);
                }
                for (int i = 0; i < Requests; ++i) {
                    ++counts[rotations[random() % instances].next(services)];
                }
                for (const auto &service : services) {
                    const double share = static_cast<double>(counts[service.service_]) / Requests;
                    const double weight = static_cast<double>(service.weight_) / total;
                    CPPUNIT_ASSERT_MESSAGE(service.service_ + " got " + std::to_string(share) + " at " + std::to_string(instances) + " instances, version "
                                               + std::to_string(round % static_cast<int>(versions.size())),
                                           std::abs(share - weight) <= MaxDifference);
                }
            }
        }
    }

    void sharedRateStartsEmpty()
    {
        std::mt19937_64 random(1);
        SharedRate rate;
        rate.setAllowance({5, 2, RatePart::Whole}, at(0));
        CPPUNIT_ASSERT(rate.nextAt(at(0), random) > at(150));
        CPPUNIT_ASSERT(rate.nextAt(at(250), random) == at(250));
        rate.take(at(250));
        CPPUNIT_ASSERT(rate.nextAt(at(250), random) > at(250));
    }

    void savedRequestsOfASharedRateAreBounded()
    {
        std::mt19937_64 random(1);
        SharedRate rate;
        rate.setAllowance({5, 2, RatePart::Whole}, at(0));
        int sent = 0;
        while (rate.nextAt(at(60'000), random) == at(60'000)) {
            rate.take(at(60'000));
            ++sent;
        }
        CPPUNIT_ASSERT_EQUAL(2, sent);
        rate.giveBack(at(60'000));
        CPPUNIT_ASSERT(rate.nextAt(at(60'000), random) == at(60'000));
    }

    void fractionOfASharedRateSavesNothing()
    {
        std::mt19937_64 random(1);
        SharedRate rate;
        rate.setAllowance({5, 1, RatePart::Fraction}, at(0));
        int sent = 0;
        for (int now = 0; now < 60'000; now += 10) {
            // Asks in one second out of ten.
            if (now % 10'000 < 1000 && rate.nextAt(at(now), random) == at(now)) {
                rate.take(at(now));
                ++sent;
            }
        }
        CPPUNIT_ASSERT(sent >= 15);
        CPPUNIT_ASSERT(sent <= 35);
    }

    void retryBudgetWindowSlides()
    {
        RetryBudget budget(RetryBudgetSettings{0, 10, 10s});
        int taken = 0;
        while (budget.tryTake(1, at(0))) {
            ++taken;
        }
        CPPUNIT_ASSERT(taken >= 1 && taken <= 10);
        CPPUNIT_ASSERT(!budget.tryTake(1, at(9000)));
        CPPUNIT_ASSERT(budget.tryTake(1, at(21000)));
    }

    void twoCoordinatorsStayWithinTheRetryBudget()
    {
        const RetryBudgetSettings settings{0.2, 60, 10s};
        int taken = 0;
        for (int coordinator = 0; coordinator < 2; ++coordinator) {
            RetryBudget budget(settings);
            budget.recordRequest(at(0));
            while (budget.tryTake(1, at(100))) {
                ++taken;
            }
        }
        CPPUNIT_ASSERT(taken > 30);
        CPPUNIT_ASSERT(taken <= 60);
    }

    void dividedRetryBudgetStaysWithinTheTotal()
    {
        const RetryBudgetSettings settings{0.2, 60, 10s};
        int taken = 0;
        for (int instance = 0; instance < 10; ++instance) {
            RetryBudget budget(settings);
            for (int i = 0; i < 100; ++i) {
                budget.recordRequest(at(i));
            }
            while (budget.tryTake(0.1, at(100))) {
                ++taken;
            }
        }
        CPPUNIT_ASSERT(taken <= 0.2 * 1000 + 60);
    }

    void workAndSpeedAreLearned()
    {
        WorkEstimator estimator;
        ServerSpeed fast;
        ServerSpeed slow;
        for (int i = 0; i < 200; ++i) {
            fast.reportedAt_ = at(i);
            slow.reportedAt_ = at(i);
            estimator.learn("lookup", fast, 50ms, at(i));
            estimator.learn("lookup", slow, 150ms, at(i));
        }
        CPPUNIT_ASSERT(slow.slowness_ / fast.slowness_ > 2.4);
        CPPUNIT_ASSERT(slow.slowness_ / fast.slowness_ < 3.6);
        const auto expected = static_cast<double>(estimator.typicalWork("lookup", 1s).count()) * slow.slowness_ / 1000;
        CPPUNIT_ASSERT(expected > 120 && expected < 180);
    }

    // Servers report a delay factor of their own speed, threefold while other workloads on the machine slow them down.
    void reportedSpeedOutlastsTheReport()
    {
        ServerSpeed speed;
        for (int i = 0; i < 100; ++i) {
            speed.recordReport(i / 4 % 5 == 4 ? 1.5 : 0.5, at(i * 100));
        }
        CPPUNIT_ASSERT(speed.typicalFactor() > 0.5 && speed.typicalFactor() < 1.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, speed.factor(at(9950)), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(speed.typicalFactor(), speed.factor(at(11000)), 1e-9);
    }

    void keyLoadDecays()
    {
        KeyLoad load;
        for (int i = 0; i < 1000; ++i) {
            load.record(500, 1ms, at(i));
        }
        const double busy = load.load(480, 511, at(1000));
        CPPUNIT_ASSERT(busy > 0.2);
        CPPUNIT_ASSERT(load.load(480, 511, at(11000)) < busy / 50);
        CPPUNIT_ASSERT_EQUAL(0.0, load.load(5000, 6000, at(1000)));
    }

    void coordinatorRanksAreAPermutation()
    {
        const std::vector<InstanceProfile> instances{{"a", "x", 200, 0}, {"b", "x", 200, 0}, {"c", "y", 200, 0}, {"d", "y", 200, 0}};
        std::set<std::size_t> ranks;
        for (const auto &instance : instances) {
            ranks.insert(coordinatorRank("service", instance.name_, instances));
        }
        CPPUNIT_ASSERT(ranks == std::set<std::size_t>({0, 1, 2, 3}));
    }

    void instancesWithMostProcessorPerServiceCoordinate()
    {
        std::vector<InstanceProfile> instances{{"a", "x", 100, 0}, {"b", "x", 500, 0}, {"c", "y", 100, 0}, {"d", "y", 500, 1}};
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), coordinatorRank("service", "b", instances));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), firstRankedInstance("service", instances));
        CPPUNIT_ASSERT_EQUAL(std::string("d"), rankedInstances("service", instances).at(1).name_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), coordinatorRank("service", "d", instances));
        // A large instance that coordinates this many services has less CPU time per service than a small one that coordinates none.
        instances[1].coordinatedServices_ = 5;
        instances[3].coordinatedServices_ = 5;
        CPPUNIT_ASSERT(coordinatorRank("service", "a", instances) < 2);
        CPPUNIT_ASSERT(coordinatorRank("service", "c", instances) < 2);
        // An instance that is not registered ranks last.
        CPPUNIT_ASSERT_EQUAL(instances.size(), coordinatorRank("service", "e", instances));
    }

    // Guards against a small instance that keeps a service which it claimed while all large ones were cut off.
    void muchLargerInstanceTakesOver()
    {
        std::vector<InstanceProfile> instances{{"small", "x", 100, 1}, {"large", "x", 500, 0}, {"other", "y", 500, 1}};
        CPPUNIT_ASSERT(isMuchBetterCoordinator("service", "large", "small", instances));
        // Only the best of the candidates takes over.
        CPPUNIT_ASSERT(!isMuchBetterCoordinator("service", "other", "small", instances));
        CPPUNIT_ASSERT(!isMuchBetterCoordinator("service", "unregistered", "small", instances));
        CPPUNIT_ASSERT(!isMuchBetterCoordinator("service", "large", "unregistered", instances));
        // A change of coordinator is not worth it between instances of similar size, or to even out the number of services.
        CPPUNIT_ASSERT(!isMuchBetterCoordinator("service", "large", "other", instances));
        instances[2].coordinatedServices_ = 2;
        CPPUNIT_ASSERT(!isMuchBetterCoordinator("service", "large", "other", instances));
    }

    void everyDomainHasOneWatcher()
    {
        std::vector<InstanceProfile> instances{{"a", "x", 100, 0}, {"b", "x", 500, 0}, {"c", "y", 100, 0}, {"d", "y", 100, 0}};
        auto watchers = watchersByDomain(instances);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), watchers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), watchers["x"]);
        // A coordinator watches the store anyway and is preferred.
        instances[0].coordinatedServices_ = 1;
        CPPUNIT_ASSERT_EQUAL(std::string("a"), watchersByDomain(instances)["x"]);
        CPPUNIT_ASSERT(watchersByDomain({}).empty());
    }

    void longestPrefixWins()
    {
        RoutingConfiguration configuration;
        for (const char *prefix : {"/", "/a/", "/a/b/"}) {
            Route route;
            route.name_ = prefix;
            route.host_ = "h.example";
            route.prefix_ = prefix;
            configuration.routes_.push_back(route);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), configuration.route("h.example", "/a/b/c")->name_);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), configuration.route("h.example", "/a/bc")->name_);
        CPPUNIT_ASSERT_EQUAL(std::string("/"), configuration.route("h.example", "/a")->name_);
        CPPUNIT_ASSERT(configuration.route("other.example", "/a/") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlacementComponents);
