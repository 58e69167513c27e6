// Model in logical time of how the view spreads among instances, with the classes that decide whom to ask and what to answer.
#include <LibGateway/LibGateway.h>

#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr Duration Step = 50ms;
constexpr Duration PongInterval = 400ms;
constexpr Duration TimeLimit = 60s;
// The store has come back from an older copy once, where the scenario says so.
constexpr StoreVersion Newest{2, 100};
constexpr StoreVersion OfEarlierEra{1, 140};
constexpr std::size_t DomainCount = 5;
constexpr std::size_t MaxAnswerBytes = 1U << 20U;
// 10 Mbit/s.
constexpr double BytesPerSecond = 1.25e6;
// Changes between two revisions that are close together.
constexpr std::size_t ChangeBytes = 1000;

struct Scenario
{
    std::string name_;
    std::size_t instances_ = 0;
    // Instances that have the newest view from the beginning, at least one.
    std::size_t holders_ = 3;
    // The view of the others at the beginning; that of no change for none.
    StoreVersion initialVersion_ = {};
    // No instance's view is ever confirmed by the store.
    bool isStoreAway_ = false;
    // Part of the instances that is killed after `KillTime` and starts again without a view.
    double killedPart_ = 0;
    // The first instance sends at a tenth of the others' rate.
    bool hasSlowHolder_ = false;
    // The first instance answers nothing.
    bool hasSilentHolder_ = false;
    // Time for which the store was away when it came back from an older copy. The holders then watch the store and read its content anew; the others read it
    // themselves if nobody brings it to them. Nothing if no such thing has happened.
    std::optional<Duration> away_ = std::nullopt;
};

// The instances that watch the store have tried it again within this time after its return.
constexpr Duration RetrySpread = 700ms;
// Of a page of the store's content.
constexpr Duration ReadLatency = 50ms;
// The content besides the entries of the instances: items whose values are known from the earlier era, but for one in so many.
constexpr std::size_t OtherItems = 300;
constexpr std::size_t OtherItemBytes = 1000;
constexpr std::size_t ChangedOneIn = 10;
constexpr std::size_t MemberBytes = 100;

constexpr Duration KillTime = 1s;
constexpr Duration RestartTime = 2s;

struct Outcome
{
    Duration allCurrent_ = Duration::max();
    double peakQueuedBytes_ = 0;
    double sentBytes_ = 0;
    std::size_t storeReads_ = 0;
};

class Model
{
public:
    explicit Model(Scenario scenario)
        : scenario_(std::move(scenario))
        , viewBytes_(MemberBytes * scenario_.instances_ + OtherItems * OtherItemBytes)
        , differenceBytes_(differenceBytes(scenario_.instances_))
    {
        for (std::size_t i = 0; i < scenario_.instances_; ++i) {
            nodes_.push_back(std::make_unique<Node>(i));
            nodes_[i]->version_ = i < scenario_.holders_ && !scenario_.away_ ? Newest : scenario_.initialVersion_;
        }
    }

    Outcome run()
    {
        const TimePoint start(std::chrono::hours(1));
        for (TimePoint now = start; now - start < TimeLimit; now += Step) {
            kill(now - start);
            for (auto &node : nodes_) {
                transfer(*node);
            }
            for (auto &node : nodes_) {
                readStore(*node, now, start);
                tellVersion(*node, now - start);
            }
            for (auto &node : nodes_) {
                ask(*node, now);
            }
            for (auto &node : nodes_) {
                answer(*node, now);
            }
            const bool isDone = std::ranges::all_of(nodes_, [](const auto &node) {
                return node->isUp_ && node->version_ == Newest;
            });
            if (isDone && (scenario_.killedPart_ == 0 || now - start > RestartTime)) {
                outcome_.allCurrent_ = now - start;
                break;
            }
        }
        return outcome_;
    }

    std::size_t viewBytes() const
    {
        return viewBytes_;
    }

private:
    struct Transfer
    {
        std::size_t to_ = 0;
        double size_ = 0;
        double left_ = 0;
    };

    struct Node
    {
        explicit Node(std::size_t index)
            : index_(index)
            , asker_(index + 1)
        {
        }

        std::size_t index_;
        bool isUp_ = true;
        StoreVersion version_;
        // What the others know of it.
        StoreVersion toldVersion_;
        // When the content that it is reading from the store is complete.
        std::optional<TimePoint> readsUntil_ = std::nullopt;
        ViewAsker asker_;
        ViewAnswerQueue<std::size_t> answers_{MaxAnswerBytes};
        std::vector<Transfer> transfers_;
        // Bytes of answers received so far, by sender.
        std::map<std::size_t, std::size_t> received_;
    };

    void kill(Duration passed)
    {
        if (scenario_.killedPart_ == 0 || (passed != KillTime && passed != RestartTime)) {
            return;
        }
        // Those with the view are among them, but not the first ones.
        const auto killed = static_cast<std::size_t>(scenario_.killedPart_ * static_cast<double>(nodes_.size()));
        for (std::size_t i = scenario_.holders_; i < scenario_.holders_ + killed; ++i) {
            nodes_[i] = std::make_unique<Node>(i);
            nodes_[i]->isUp_ = passed == RestartTime;
            for (auto &node : nodes_) {
                node->answers_.remove(i);
                node->received_.erase(i);
                std::erase_if(node->transfers_, [i](const Transfer &transfer) {
                    return transfer.to_ == i;
                });
            }
        }
    }

    void transfer(Node &node)
    {
        const double rate = BytesPerSecond * (scenario_.hasSlowHolder_ && node.index_ == 0 ? 0.1 : 1);
        const double share = rate * std::chrono::duration<double>(Step).count() / static_cast<double>(std::max<std::size_t>(1, node.transfers_.size()));
        double queued = 0;
        for (auto &transfer : node.transfers_) {
            queued += transfer.left_;
            outcome_.sentBytes_ += std::min(share, transfer.left_);
            transfer.left_ -= std::min(share, transfer.left_);
            auto &receiver = *nodes_[transfer.to_];
            receiver.received_[node.index_] = static_cast<std::size_t>(transfer.size_ - transfer.left_);
            if (transfer.left_ <= 0) {
                node.answers_.recordSent(transfer.to_);
                receiver.received_.erase(node.index_);
                receiver.version_ = std::max(receiver.version_, node.version_);
                receiver.asker_.recordAnswer(std::to_string(node.index_));
            }
        }
        outcome_.peakQueuedBytes_ = std::max(outcome_.peakQueuedBytes_, queued);
        std::erase_if(node.transfers_, [](const Transfer &transfer) {
            return transfer.left_ <= 0;
        });
    }

    static std::vector<Platform::StoreItem> content(std::size_t instances, StoreVersion at)
    {
        const auto value = [at](std::size_t size, bool isChanged) {
            return std::string(size, isChanged ? static_cast<char>('a' + at.era_) : 'a');
        };
        std::vector<Platform::StoreItem> items;
        for (std::size_t i = 0; i < OtherItems; ++i) {
            items.push_back({"other/i-" + std::to_string(i), value(OtherItemBytes, i % ChangedOneIn == 0), at, {}});
        }
        for (std::size_t i = 0; i < instances; ++i) {
            items.push_back({"entries/" + std::to_string(i), value(MemberBytes, true), at, {}});
        }
        return items;
    }

    static std::size_t differenceBytes(std::size_t instances)
    {
        StoreView view([](const std::string &, const std::string &) {});
        view.replace(content(instances, OfEarlierEra), OfEarlierEra, TimePoint(std::chrono::hours(1)));
        view.replace(content(instances, Newest), Newest, TimePoint(std::chrono::hours(1)));
        return view.changeBytes(OfEarlierEra);
    }

    // An instance that watches the store reads it when it tries it again after its return, another one when nobody confirms or brings the view.
    void readStore(Node &node, TimePoint now, TimePoint start)
    {
        if (!scenario_.away_ || node.version_ == Newest) {
            return;
        }
        if (node.readsUntil_ && now >= *node.readsUntil_) {
            node.version_ = Newest;
            // Its watch reports at once, and so do its announcements.
            node.toldVersion_ = Newest;
            return;
        }
        const bool isHolder = node.index_ < scenario_.holders_;
        const TimePoint retriesAt = start + share(node.index_, RetrySpread);
        const TimePoint confirmedAt = start - *scenario_.away_ - share(node.index_, PositionCheckInterval);
        const bool mustRead = isHolder ? now >= retriesAt : now >= std::max(retriesAt, confirmedAt + MaxViewAge) && !isBroughtView(node, now, start);
        if (mustRead && !node.readsUntil_) {
            ++outcome_.storeReads_;
            node.readsUntil_ = now + ReadLatency + Duration(static_cast<Duration::rep>(1e6 * static_cast<double>(viewBytes_) / BytesPerSecond));
        }
    }

    static bool isBroughtView(const Node &node, TimePoint now, TimePoint start)
    {
        return now - start < MaxEraRelayTime && node.asker_.isBehind();
    }

    // Differs between instances and is the same in each run.
    static Duration share(std::size_t index, Duration whole)
    {
        constexpr std::size_t Parts = 101;
        constexpr std::size_t Stride = 37;
        return whole * static_cast<Duration::rep>(index * Stride % Parts) / static_cast<Duration::rep>(Parts);
    }

    void tellVersion(Node &node, Duration passed) const
    {
        // Pongs of different instances come at different times.
        const auto steps = static_cast<std::size_t>(passed / Step) + node.index_;
        if (steps % static_cast<std::size_t>(PongInterval / Step) == 0) {
            node.toldVersion_ = node.version_;
        }
    }

    void ask(Node &node, TimePoint now)
    {
        if (!node.isUp_) {
            return;
        }
        std::vector<ViewSource> sources;
        if (node.version_ < Newest) {
            for (const auto &other : nodes_) {
                // The others do not matter for the choice.
                if (other->isUp_ && other->toldVersion_ > node.version_) {
                    const auto received = node.received_.find(other->index_);
                    sources.push_back({std::to_string(other->index_),
                                       other->toldVersion_,
                                       other->index_ % DomainCount == node.index_ % DomainCount,
                                       received == node.received_.end() ? 0 : received->second});
                }
            }
        }
        const bool isCurrent = node.version_ == Newest && !scenario_.isStoreAway_;
        if (const auto chosen = node.asker_.choose(sources, {node.version_, isCurrent, false}, now)) {
            const auto asked = std::stoul(*chosen);
            if (!scenario_.hasSilentHolder_ || asked != 0) {
                nodes_[asked]->answers_.request(node.index_, node.version_, now);
            }
        }
    }

    void answer(Node &node, TimePoint now) const
    {
        const auto sizeOf = [this](const StoreVersion &version) {
            if (!version.exists()) {
                return viewBytes_;
            }
            return version.era_ == Newest.era_ ? ChangeBytes : differenceBytes_;
        };
        for (const auto &turn : node.answers_.takeDue(sizeOf, now)) {
            const auto size = static_cast<double>(sizeOf(turn.version_));
            node.transfers_.push_back({turn.link_, size, size});
        }
    }

    Scenario scenario_;
    std::size_t viewBytes_;
    // Of the answer to an instance whose view is of the earlier era.
    std::size_t differenceBytes_;
    std::vector<std::unique_ptr<Node>> nodes_;
    Outcome outcome_;
};

Outcome check(const Scenario &scenario, Duration limit)
{
    Model model(scenario);
    const auto outcome = model.run();
    const auto seconds = std::chrono::duration<double>(outcome.allCurrent_).count();
    const auto wholeViews = outcome.sentBytes_ / static_cast<double>(model.viewBytes() * scenario.instances_);
    std::ostringstream row;
    row << scenario.name_ << ": " << scenario.instances_ << " instances, all current after " << seconds << " s, at most " << outcome.peakQueuedBytes_ / 1000
        << " kB queued at one, " << outcome.sentBytes_ / 1e6 << " MB sent (" << wholeViews << " views for each instance), " << outcome.storeReads_
        << " complete reads of the store";
    std::cout << row.str() << '\n';
    CPPUNIT_ASSERT_MESSAGE(row.str(), outcome.allCurrent_ <= limit);
    const auto bound = std::max<std::size_t>(MaxAnswerBytes, 2 * model.viewBytes()) + scenario.instances_ * SmallViewAnswer;
    CPPUNIT_ASSERT_MESSAGE(row.str(), outcome.peakQueuedBytes_ <= static_cast<double>(bound));
    CPPUNIT_ASSERT_MESSAGE(row.str(), wholeViews <= 1.5 + scenario.killedPart_);
    return outcome;
}

} // namespace

class TestViewSpread : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewSpread);
    CPPUNIT_TEST(allStartTogether);
    CPPUNIT_TEST(someAreKilledMeanwhile);
    CPPUNIT_TEST(storeIsAwayForAll);
    CPPUNIT_TEST(slowAndSilentHolders);
    CPPUNIT_TEST(storeComesBackFromAnOlderCopy);
    CPPUNIT_TEST_SUITE_END();

public:
    void allStartTogether()
    {
        for (const std::size_t count : {15, 63, 195, 1200}) {
            check({.name_ = "start together", .instances_ = count}, 10s);
        }
    }

    void someAreKilledMeanwhile()
    {
        for (const std::size_t count : {15, 63, 195, 1200}) {
            check({.name_ = "a third killed", .instances_ = count, .killedPart_ = 1.0 / 3}, 12s);
        }
    }

    // A change reaches instances that have an older view although no view is confirmed.
    void storeIsAwayForAll()
    {
        for (const std::size_t count : {15, 63, 195, 1200}) {
            check({.name_ = "store away, no view", .instances_ = count, .isStoreAway_ = true}, 10s);
            check({.name_ = "store away, earlier view", .instances_ = count, .initialVersion_ = {Newest.era_, Newest.revision_ - 1}, .isStoreAway_ = true}, 2s);
        }
    }

    void slowAndSilentHolders()
    {
        for (const std::size_t count : {15, 63, 195, 1200}) {
            check({.name_ = "one slow holder", .instances_ = count, .hasSlowHolder_ = true}, 12s);
            check({.name_ = "one silent holder, earlier view",
                   .instances_ = count,
                   .initialVersion_ = {Newest.era_, Newest.revision_ - 1},
                   .hasSilentHolder_ = true},
                  2s);
        }
    }

    // Everyone has a view of the earlier era. One instance of each failure domain and three coordinators watch the store, which is stable 3 s after its return:
    // a change that it acknowledges then has to be in force 2 s later.
    void storeComesBackFromAnOlderCopy()
    {
        constexpr std::size_t WatcherCount = DomainCount + 3;
        constexpr std::size_t ManyInstances = 1200;
        for (const std::size_t count : {std::size_t(15), std::size_t(63), std::size_t(195), ManyInstances}) {
            for (const Duration away : {Duration(200ms), Duration(800ms), Duration(3s)}) {
                const std::string name = "older copy, away " + std::to_string(away.count() / 1000) + " ms";
                const auto outcome = check({.name_ = name, .instances_ = count, .holders_ = WatcherCount, .initialVersion_ = OfEarlierEra, .away_ = away},
                                           count < ManyInstances ? 3s : 5s);
                // Nobody relays while the store is away for longer than a view counts as confirmed.
                const bool isRelayed = away < MaxViewAge && count < ManyInstances;
                CPPUNIT_ASSERT_MESSAGE(name, outcome.storeReads_ <= (isRelayed ? WatcherCount : count));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewSpread);
