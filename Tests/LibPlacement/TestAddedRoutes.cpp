// Tests that routes which a configuration added later are served as often as the first.
#include <LibPlacement/LibPlacement.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <queue>
#include <random>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr int Servers = 4;
constexpr int Slots = 2;
constexpr Duration LatencyObjective = 300ms;
constexpr Duration Deadline = 800ms;
// Like the instances assume it of a route whose requests have not completed yet.
constexpr Duration AssumedWork = 90ms;

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

PoolServerInput makeServer(int index)
{
    PoolServerInput input;
    input.description_.id_ = "s" + std::to_string(index);
    input.description_.service_ = "catalogue";
    input.description_.address_ = "127.0.0.1:1";
    input.description_.domain_ = "north";
    input.description_.slots_ = Slots;
    input.description_.startTime_ = 7;
    input.describedAt_ = at(0);
    return input;
}

PlacementRequest makeRequest(const std::string &route, std::uint64_t number, TimePoint arrivedAt)
{
    PlacementRequest request;
    request.id_ = {"a", number};
    request.workKind_ = route;
    request.latencyObjectiveAt_ = arrivedAt + LatencyObjective;
    request.deadline_ = arrivedAt + Deadline;
    request.assumedWork_ = AssumedWork;
    return request;
}

// What is told apart between the runs of a simulation.
struct Scenario
{
    const char *name_;
    // Requests of each route, as a multiple of what the servers can run.
    double load_ = 0.8;
    Duration work_ = 50ms;
    // Work of the first requests of the added route, and how many of them.
    Duration firstWork_ = 50ms;
    int firstCount_ = 0;
    // Reported by all servers, which take so many times as long.
    double delayFactor_ = 1;
};

// Requests of a route that has been there from the beginning and of one that is added after some seconds, at servers of the same speed. Each
// server runs as many requests as it has slots.
class Simulation
{
public:
    explicit Simulation(Scenario scenario)
        : scenario_(scenario)
        , pool_(makeService(), RetryBudgetSettings{0.2, 10, 10s}, 1, std::make_shared<ServerNotices>())
    {
        pool_.setScope(PoolScope::Shared, 3, at(0));
        std::vector<PoolServerInput> servers;
        for (int i = 0; i < Servers; ++i) {
            servers.push_back(makeServer(i));
        }
        pool_.setServers(servers, at(0));
        for (const auto &server : servers) {
            pool_.recordHealthCheck(server.description_.id_, Duration::zero(), ReportedLoad{0, 0, Slots, scenario_.delayFactor_}, at(0));
        }
    }

    void run()
    {
        constexpr int AddedAt = 5000;
        constexpr int End = 25000;
        const double perMillisecond =
            scenario_.load_ * Servers * Slots / (std::chrono::duration<double, std::milli>(scenario_.work_).count() * scenario_.delayFactor_);
        std::poisson_distribution<int> arrivals(perMillisecond);
        for (int now = 0; now < End; ++now) {
            finishUntil(at(now));
            for (const std::string route : {"first", "added"}) {
                const int count = route == "added" && now < AddedAt ? 0 : arrivals(random_);
                for (int i = 0; i < count; ++i) {
                    enqueue(route, at(now));
                    if (now >= AddedAt) {
                        ++offered_[route];
                    }
                }
            }
            decide(at(now), now >= AddedAt);
        }
    }

    double servedShare(const std::string &route)
    {
        return offered_[route] == 0 ? 0 : static_cast<double>(served_[route]) / offered_[route];
    }

private:
    struct Run
    {
        TimePoint endsAt_;
        std::uint64_t number_ = 0;
        TimePoint startedAt_;

        bool operator>(const Run &other) const
        {
            return endsAt_ > other.endsAt_;
        }
    };

    static Service makeService()
    {
        Service service;
        service.name_ = "catalogue";
        return service;
    }

    void enqueue(const std::string &route, TimePoint now)
    {
        // At any moment of this millisecond.
        auto request = makeRequest(route, ++number_, now - Duration(std::uniform_int_distribution<Duration::rep>(0, 999)(random_)));
        routes_[number_] = route;
        pool_.enqueue(std::move(request), now);
    }

    void decide(TimePoint now, bool isCounted)
    {
        for (const auto &placed : pool_.decide(now).placements_) {
            const auto number = placed.id_.number_;
            const auto &route = routes_.at(number);
            const bool isFirst = route == "added" && started_++ < scenario_.firstCount_;
            const auto work =
                isFirst ? scenario_.firstWork_ : Duration(static_cast<Duration::rep>(static_cast<double>(scenario_.work_.count()) * scenario_.delayFactor_));
            running_.push({now + work, number, now});
            if (isCounted) {
                ++served_[route];
            }
        }
    }

    void finishUntil(TimePoint now)
    {
        while (!running_.empty() && running_.top().endsAt_ <= now) {
            const auto run = running_.top();
            running_.pop();
            PlacementReport report;
            report.outcome_ = PlacementOutcome::Answered;
            report.duration_ = run.endsAt_ - run.startedAt_;
            report.load_ = ReportedLoad{0, 0, Slots, scenario_.delayFactor_};
            pool_.finish({"a", run.number_}, report, run.endsAt_);
        }
    }

    Scenario scenario_;
    ServicePool pool_;
    std::mt19937 random_{7};
    std::uint64_t number_ = 0;
    int started_ = 0;
    std::map<std::uint64_t, std::string> routes_;
    std::priority_queue<Run, std::vector<Run>, std::greater<>> running_;
    std::map<std::string, int> offered_;
    std::map<std::string, int> served_;
};

} // namespace

class TestAddedRoutes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAddedRoutes);
    CPPUNIT_TEST(addedRouteIsServedAsOftenAsTheFirst);
    CPPUNIT_TEST(routeWhoseFirstRequestTookLongIsServedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a route that is never served in overload, so that its service time is never learned: what was assumed of it is longer than
    // the others' work, which puts its requests behind theirs.
    void addedRouteIsServedAsOftenAsTheFirst()
    {
        const std::vector<Scenario> scenarios{
            {"all are served", 0.4},
            {"a little overload", 0.8},
            {"overload", 1.5},
            {"heavy overload", 2},
            {"short work, overload", 1.2, 5ms},
            {"short work, heavy overload", 2, 5ms},
            {"long work, heavy overload", 2, 150ms},
            {"slow servers", 0.8, 50ms, 50ms, 0, 3},
            {"slow servers, short work", 0.8, 10ms, 10ms, 0, 4},
            {"first request slow", 0.3, 50ms, 780ms, 1},
            {"first request slow, overload", 0.8, 50ms, 400ms, 1},
            {"first requests slow, overload", 0.8, 50ms, 780ms, 8},
            {"first request slow, heavy overload", 2, 50ms, 780ms, 1},
        };
        for (const auto &scenario : scenarios) {
            Simulation simulation(scenario);
            simulation.run();
            const double first = simulation.servedShare("first");
            const double added = simulation.servedShare("added");
            const std::string shares = std::string(scenario.name_) + ": first " + std::to_string(first) + ", added " + std::to_string(added);
            CPPUNIT_ASSERT_MESSAGE(shares, added >= first / 4);
        }
    }

    // Guards against a route that is rejected for ever at idle servers: its first request ran at a fast server, which took long this once.
    void routeWhoseFirstRequestTookLongIsServedAgain()
    {
        ServicePool pool(Service(), RetryBudgetSettings{0.2, 10, 10s}, 1, std::make_shared<ServerNotices>());
        pool.setScope(PoolScope::Shared, 3, at(0));
        pool.setServers({makeServer(0)}, at(0));
        pool.recordHealthCheck("s0", Duration::zero(), ReportedLoad{0, 0, Slots, 0.5}, at(0));
        pool.enqueue(makeRequest("added", 1, at(0)), at(0));
        const auto first = pool.decide(at(0)).placements_;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.size());
        PlacementReport report;
        report.outcome_ = PlacementOutcome::Answered;
        report.duration_ = 780ms;
        pool.finish(first.front().id_, report, at(780));
        pool.setServers({makeServer(1)}, at(800));
        std::size_t served = 0;
        for (std::uint64_t number = 2; number < 102; ++number) {
            const int now = 800 + 100 * static_cast<int>(number);
            pool.recordHealthCheck("s1", Duration::zero(), ReportedLoad{0, 0, Slots, 1.5}, at(now));
            pool.enqueue(makeRequest("added", number, at(now)), at(now));
            for (const auto &placed : pool.decide(at(now)).placements_) {
                ++served;
                report.duration_ = 75ms;
                pool.finish(placed.id_, report, at(now + 75));
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " of 100", served >= 90);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAddedRoutes);
