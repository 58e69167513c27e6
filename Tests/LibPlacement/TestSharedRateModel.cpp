// A model in logical time of many instances that send to one server which names a limit, with faults of the coordinator.
#include <LibPlacement/LibPlacement.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr Duration Window = 4s;
constexpr Duration LearningTime = 500ms;
constexpr Duration Settling = 3s;
constexpr Duration NamedFrom = 2s;
constexpr Duration Length = 30s;
constexpr Duration MessageDelay = 2ms;
constexpr Duration ServiceTime = 100ms;
constexpr Duration Patience = 80ms;
constexpr Duration BypassTime = 300ms;
constexpr double RequestsPerSecond = 12;
const ServerIncarnation Server{"s0", 7};

enum class Fault {
    None,
    // Instances pass the coordinator over now and then.
    PassedOver,
    // Two instances coordinate, each for half of the others.
    TwoCoordinators,
    // The coordinator is lost at 10 s, and the next one is known 2 s later.
    Killed,
    // The coordinator stands still from 10 s to 13 s; another one takes over after 1 s.
    Frozen,
    // Half of the instances never reach the coordinator.
    HalfAlone,
    // No instance reaches a coordinator.
    AllAlone,
    // The limit falls to a tenth at 12 s.
    LimitFalls,
    // The limit ends at 12 s and returns at 12.7 s.
    LimitReturns,
    // Messages between instances take 250 ms.
    SlowMessages,
};

const char *faultName(Fault fault)
{
    static const char *names[] = {
        "none", "passed over", "two coordinators", "killed", "frozen", "half alone", "all alone", "limit falls", "limit returns", "slow messages"};
    return names[static_cast<int>(fault)];
}

struct Outcome
{
    // Most requests in a window that counts, as a share of what is allowed.
    double worst_ = 0;
    std::size_t worstCount_ = 0;
    // Requests per second that the server got after it had named its limit, as a share of the limit.
    double used_ = 0;
    std::size_t rejected_ = 0;
};

// Instances, the coordinators among them, one server that holds all keys, and the messages between them.
class Model
{
public:
    Model(Fault fault, double limit, std::size_t instanceCount, std::uint64_t seed)
        : fault_(fault)
        , limit_(limit)
        , random_(seed)
    {
        for (std::size_t i = 0; i < instanceCount; ++i) {
            instances_.push_back(std::make_unique<Instance>(i, instanceCount, seed));
        }
        instances_[0]->pool_.setScope(PoolScope::Shared, instanceCount, at(0s));
        if (fault_ == Fault::TwoCoordinators) {
            instances_[1]->pool_.setScope(PoolScope::Shared, instanceCount, at(0s));
        }
    }

    Outcome run()
    {
        scheduleArrival();
        for (Duration now = 0s; now < Length; now += 20ms) {
            schedule(now, [this] {
                for (auto &instance : instances_) {
                    decide(*instance);
                }
            });
        }
        while (!events_.empty() && events_.top().time_ < Length) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time_;
            event.action_();
        }
        outcome_.used_ = static_cast<double>(afterNaming_) / std::chrono::duration<double>(Length - NamedFrom).count() / std::max(limit_, 0.33);
        return outcome_;
    }

private:
    struct Instance
    {
        Instance(std::size_t index, std::size_t count, std::uint64_t seed)
            : index_(index)
            , pool_(makeService(), RetryBudgetSettings{0.2, 10, 10s}, seed * 1000 + index, notices_)
        {
            PoolServerInput input;
            input.description_.id_ = Server.id_;
            input.description_.startTime_ = Server.startTime_;
            input.description_.slots_ = 100;
            pool_.setServers({input}, at(0s));
            pool_.setScope(PoolScope::Local, count, at(0s));
            ShardAssignment assignment;
            assignment.ranges_.push_back({0, 65535, {Server.id_, Server.startTime_, 1}, {}});
            pool_.setAssignment(assignment);
        }

        static Service makeService()
        {
            Service service;
            service.name_ = "sharded";
            service.isSharded_ = true;
            return service;
        }

        std::size_t index_;
        std::shared_ptr<ServerNotices> notices_ = std::make_shared<ServerNotices>();
        ServicePool pool_;
        Duration bypassedUntil_ = 0s;
        // The coordinator that was last told of the limit, and when.
        std::optional<std::size_t> told_;
        Duration toldAt_ = 0s;
        // When it first passed on a response that named the limit.
        std::optional<Duration> knowsSince_;
    };

    struct Event
    {
        Duration time_;
        std::uint64_t order_;
        std::function<void()> action_;

        bool operator<(const Event &other) const
        {
            return std::tie(time_, order_) > std::tie(other.time_, other.order_);
        }
    };

    // A request of an instance, and who placed it.
    struct Request
    {
        PlacementId id_;
        std::size_t owner_ = 0;
        Duration askedAt_ = 0s;
        bool isDecided_ = false;
        int withheld_ = 0;
    };

    static TimePoint at(Duration sinceStart)
    {
        return TimePoint(std::chrono::hours(1)) + sinceStart;
    }

    TimePoint present() const
    {
        return at(now_);
    }

    void schedule(Duration time, std::function<void()> action)
    {
        events_.push({std::max(time, now_), order_++, std::move(action)});
    }

    Duration delay()
    {
        const Duration base = fault_ == Fault::SlowMessages ? Duration(250ms) : MessageDelay;
        return base + Duration(std::uniform_int_distribution<Duration::rep>(0, base.count())(random_));
    }

    std::optional<double> limitNow() const
    {
        if (now_ < NamedFrom || (fault_ == Fault::LimitReturns && now_ >= 12s && now_ < 12700ms)) {
            return std::nullopt;
        }
        return fault_ == Fault::LimitFalls && now_ >= 12s ? limit_ / 10 : limit_;
    }

    bool isFrozen(std::size_t instance) const
    {
        return fault_ == Fault::Frozen && instance == 0 && now_ >= 10s && now_ < 13s;
    }

    std::optional<std::size_t> coordinatorFor(const Instance &instance)
    {
        switch (fault_) {
        case Fault::PassedOver:
            return std::uniform_real_distribution<>(0, 1)(random_) < 0.1 ? std::nullopt : std::make_optional<std::size_t>(0);
        case Fault::TwoCoordinators:
            return instance.index_ % 2;
        case Fault::Killed:
            return now_ < 10s ? std::make_optional<std::size_t>(0) : now_ < 12s ? std::nullopt : std::make_optional<std::size_t>(1);
        case Fault::Frozen:
            // A third of the instances goes back to the first one, whose view is older.
            return now_ < 11s || (now_ >= 13s && instance.index_ % 3 == 0) ? 0 : 1;
        case Fault::HalfAlone:
            return instance.index_ % 2 == 0 ? std::make_optional<std::size_t>(0) : std::nullopt;
        case Fault::AllAlone:
            return std::nullopt;
        default:
            return 0;
        }
    }

    void scheduleArrival()
    {
        const Duration pause = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<>(RequestsPerSecond)(random_)));
        schedule(now_ + pause, [this] {
            auto &instance = *instances_[std::uniform_int_distribution<std::size_t>(0, instances_.size() - 1)(random_)];
            if (!isFrozen(instance.index_)) {
                auto request = std::make_shared<Request>();
                request->owner_ = instance.index_;
                request->askedAt_ = now_;
                ask(request);
            }
            scheduleArrival();
        });
    }

    void ask(const std::shared_ptr<Request> &request)
    {
        auto &owner = *instances_[request->owner_];
        request->id_ = {"i" + std::to_string(request->owner_), ++number_};
        request->isDecided_ = false;
        requests_[request->id_] = request;
        const auto coordinator = request->withheld_ < 2 && now_ >= owner.bypassedUntil_ ? coordinatorFor(owner) : std::nullopt;
        if (!coordinator || *coordinator == owner.index_) {
            enqueue(owner, request->id_, request);
            return;
        }
        const auto *limit = owner.notices_->limits().find(Server);
        const bool mustTell = limit != nullptr && (owner.told_ != coordinator || at(owner.toldAt_) < limit->namedAt_);
        const std::optional<double> rate = mustTell ? std::make_optional(limit->rate_) : std::nullopt;
        if (mustTell) {
            owner.told_ = coordinator;
            owner.toldAt_ = now_;
        }
        const auto id = request->id_;
        schedule(now_ + delay(), [this, coordinator, rate, id, request, namedAt = limit == nullptr ? TimePoint() : limit->namedAt_] {
            receiveAsk(*instances_[*coordinator], rate, namedAt, id, request);
        });
        schedule(now_ + Patience, [this, id, request, &owner] {
            if (request->id_ == id && !request->isDecided_ && fault_ != Fault::SlowMessages) {
                requests_.erase(id);
                owner.bypassedUntil_ = now_ + BypassTime;
                ask(request);
            }
        });
    }

    void receiveAsk(Instance &coordinator, std::optional<double> rate, TimePoint namedAt, const PlacementId &id, const std::shared_ptr<Request> &request)
    {
        if (isFrozen(coordinator.index_)) {
            schedule(13s, [this, &coordinator, rate, namedAt, id, request] {
                receiveAsk(coordinator, rate, namedAt, id, request);
            });
            return;
        }
        if (fault_ == Fault::Killed && coordinator.index_ == 0 && now_ >= 10s) {
            return;
        }
        if (coordinator.index_ != 0 || fault_ == Fault::Frozen) {
            coordinator.pool_.setScope(PoolScope::Shared, instances_.size(), present());
        }
        if (rate) {
            coordinator.notices_->limits().recordReported(Server, *rate, namedAt, TimePoint(), present());
        }
        enqueue(coordinator, id, request);
    }

    void enqueue(Instance &decider, const PlacementId &id, const std::shared_ptr<Request> &request)
    {
        PlacementRequest placement;
        placement.id_ = id;
        placement.workKind_ = "lookup";
        placement.latencyObjectiveAt_ = at(request->askedAt_ + 300ms);
        placement.deadline_ = at(request->askedAt_ + 800ms);
        placement.assumedWork_ = ServiceTime;
        placement.key_ = 5;
        decider.pool_.enqueue(placement, present());
        decide(decider);
    }

    void decide(Instance &decider)
    {
        if (isFrozen(decider.index_)) {
            return;
        }
        const auto decisions = decider.pool_.decide(present());
        outcome_.rejected_ += decisions.rejections_.size();
        for (const auto &rejection : decisions.rejections_) {
            if (const auto request = requests_[rejection.id_]) {
                request->isDecided_ = true;
            }
        }
        for (const auto &placement : decisions.placements_) {
            const auto request = requests_[placement.id_];
            const bool isRemote = !request || request->owner_ != decider.index_;
            schedule(now_ + (isRemote ? delay() : 0s), [this, placement, request, &decider] {
                receivePlacement(decider, placement, request);
            });
        }
    }

    void receivePlacement(Instance &decider, const Placement &placement, const std::shared_ptr<Request> &request)
    {
        if (!request || request->id_ != placement.id_ || request->isDecided_) {
            // Was decided elsewhere in the meantime.
            decider.pool_.finish(placement.id_, PlacementReport(), present());
            return;
        }
        request->isDecided_ = true;
        auto &owner = *instances_[request->owner_];
        const bool isKnown = owner.notices_->limits().find(Server) != nullptr;
        const bool hasEnded = placement.limit_ == LimitKnowledge::Ended && owner.told_ == decider.index_ && owner.toldAt_ <= request->askedAt_;
        if (isKnown && placement.limit_ != LimitKnowledge::Counted && !hasEnded) {
            decider.pool_.finish(placement.id_, PlacementReport(), present());
            ++request->withheld_;
            ask(request);
            return;
        }
        if (hasEnded) {
            owner.notices_->limits().recordAbsent(Server, present(), present());
        }
        arrive(owner);
        const Duration sentAt = now_;
        schedule(now_ + ServiceTime, [this, &owner, &decider, placement, sentAt, limit = limitNow()] {
            receiveResponse(owner, decider, placement, sentAt, limit);
        });
    }

    void arrive(const Instance &owner)
    {
        if (now_ >= NamedFrom) {
            ++afterNaming_;
        }
        const bool counts = owner.knowsSince_ && now_ >= *owner.knowsSince_ + LearningTime;
        if (!counts || !limitNow()) {
            return;
        }
        arrivals_.push_back(now_);
        while (arrivals_.front() + Window < now_) {
            arrivals_.pop_front();
        }
        // What was sent before the limit fell was allowed then.
        const bool isSettled = now_ >= NamedFrom + Settling && (fault_ != Fault::LimitFalls || now_ < 12s || now_ >= 12s + Window + LearningTime);
        const double allowed = 1.5 * *limitNow() * std::chrono::duration<double>(Window).count() + 5;
        if (isSettled && static_cast<double>(arrivals_.size()) / allowed > outcome_.worst_) {
            outcome_.worst_ = static_cast<double>(arrivals_.size()) / allowed;
            outcome_.worstCount_ = arrivals_.size();
        }
    }

    void receiveResponse(Instance &owner, Instance &decider, const Placement &placement, Duration sentAt, std::optional<double> limit)
    {
        PlacementReport report;
        report.outcome_ = PlacementOutcome::Answered;
        report.duration_ = now_ - sentAt;
        if (limit) {
            owner.notices_->limits().recordNamed(Server, *limit, NoticeSource::Response, at(sentAt), present());
            owner.knowsSince_ = owner.knowsSince_.value_or(now_);
        } else {
            owner.notices_->limits().recordAbsent(Server, at(sentAt), present());
        }
        if (decider.index_ == owner.index_) {
            decider.pool_.finish(placement.id_, report, present());
        }
        const auto coordinator = decider.index_ == owner.index_ ? coordinatorFor(owner) : std::make_optional(decider.index_);
        if (!coordinator || *coordinator == owner.index_) {
            return;
        }
        if (limit) {
            owner.told_ = coordinator;
            owner.toldAt_ = now_;
        }
        schedule(now_ + delay(), [this, &receiver = *instances_[*coordinator], &decider, placement, report, limit] {
            receiveReport(receiver, decider, placement, report, limit);
        });
    }

    void receiveReport(Instance &receiver, const Instance &decider, const Placement &placement, const PlacementReport &report, std::optional<double> limit)
    {
        if (isFrozen(receiver.index_)) {
            schedule(13s, [this, &receiver, &decider, placement, report, limit] {
                receiveReport(receiver, decider, placement, report, limit);
            });
            return;
        }
        const auto placed = receiver.pool_.placementOf(placement.id_);
        if (limit) {
            receiver.notices_->limits().recordReported(Server, *limit, present(), placed ? placed->placedAt_ : TimePoint(), present());
        } else if (placed) {
            receiver.notices_->limits().recordAbsent(Server, placed->placedAt_, present());
        }
        if (decider.index_ != receiver.index_) {
            receiver.pool_.countForeignRequest(Server, present());
        }
        receiver.pool_.finish(placement.id_, report, present());
    }

    Fault fault_;
    double limit_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::priority_queue<Event> events_;
    std::map<PlacementId, std::shared_ptr<Request>> requests_;
    std::deque<Duration> arrivals_;
    Duration now_ = 0s;
    std::uint64_t order_ = 0;
    std::uint64_t number_ = 0;
    std::size_t afterNaming_ = 0;
    Outcome outcome_;
};

} // namespace

class TestSharedRateModel : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSharedRateModel);
    CPPUNIT_TEST(limitHoldsUnderEachFault);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitHoldsUnderEachFault()
    {
        for (int index = 0; index <= static_cast<int>(Fault::SlowMessages); ++index) {
            const auto fault = static_cast<Fault>(index);
            for (const double limit : {0.2, 1.8, 5.0, 20.0}) {
                Outcome worst;
                double used = 0;
                std::size_t rejected = 0;
                int runs = 0;
                for (const std::size_t instances : {3, 10, 60}) {
                    for (std::uint64_t seed = 1; seed <= 3; ++seed, ++runs) {
                        const auto outcome = Model(fault, limit, instances, seed).run();
                        worst = outcome.worst_ > worst.worst_ ? outcome : worst;
                        used += outcome.used_;
                        rejected += outcome.rejected_;
                    }
                }
                std::printf("%-17s limit %4.1f  worst %5.2f of allowed (%3zu)  used %5.2f of the limit  rejected %4zu a run\n",
                            faultName(fault),
                            limit,
                            worst.worst_,
                            worst.worstCount_,
                            used / runs,
                            rejected / static_cast<std::size_t>(runs));
                CPPUNIT_ASSERT_MESSAGE(faultName(fault), worst.worst_ <= 1);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSharedRateModel);
