// Tests of pushed changes, and a model in logical time of how they spread among instances whose links are slow.
#include <LibGateway/LibGateway.h>

#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <queue>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;
using Revision = std::uint64_t;
using Platform::StoreEvent;
using Platform::StoreItem;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

std::string configurationText(Revision version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"resources":[]})";
}

std::string serverText(const std::string &state = "ready")
{
    return R"({"service":"one","address":"10.1.0.9:8080","zone":"north","version":"v1","capacity":2,"state":")" + state
        + R"(","warmupLeftS":0,"sequence":0,"born":7})";
}

StoreItem configurationItem(Revision revision)
{
    return {Platform::ConfigurationKey, configurationText(revision), atRevision(revision), {}};
}

StoreItem serverItem(Revision revision, const std::string &state = "ready")
{
    return {Platform::ServerPrefix + std::string("s1"), serverText(state), atRevision(revision), {}};
}

StoreView makeView()
{
    return StoreView([](const std::string &, const std::string &) {});
}

// A view of a configuration and a server at revision 10.
StoreView loadedView()
{
    auto view = makeView();
    view.replace({configurationItem(5), serverItem(6)}, atRevision(10), at(0));
    return view;
}

std::string hostName(std::size_t index)
{
    return "edge-" + std::to_string(index);
}

struct Spread
{
    std::string name_;
    std::size_t instances_ = 0;
    // All instances that watch the store hear of the change; otherwise only the one of the second failure domain.
    bool doAllWatchesHear_ = true;
    // Slowest delay of a machine's link, each way. Every instance's delay is between a tenth of this and this.
    Duration slowestLink_ = 1s;
};

constexpr std::size_t DomainCount = 5;
constexpr std::size_t CoordinatorCount = 3;
// 100 Mbit/s: the instances that watch the store are the largest ones.
constexpr double WatcherBytesPerSecond = 12.5e6;
constexpr Duration SpreadTimeLimit = 20s;
constexpr Duration SpreadStep = 50ms;

// The first instance of each failure domain watches the store, and the next `CoordinatorCount` instances, which coordinate services, do
// too. Every instance has connections to all of these.
class SpreadModel
{
public:
    explicit SpreadModel(Spread spread)
        : spread_(std::move(spread))
    {
        std::set<std::string> watchers;
        for (std::size_t i = 0; i < watcherCount(); ++i) {
            watchers.insert(std::to_string(i));
        }
        for (std::size_t i = 0; i < spread_.instances_; ++i) {
            auto node = std::make_unique<Node>();
            node->view_.replace({configurationItem(5)}, atRevision(10), at(0));
            node->changes_.takeDue(node->view_, at(0));
            node->linkDelay_ = linkDelay(i);
            auto others = watchers;
            others.erase(std::to_string(i));
            node->sources_ = chooseChangeSources(hostName(i), i < DomainCount ? std::string() : std::to_string(i % DomainCount), others);
            nodes_.push_back(std::move(node));
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            for (const auto &source : nodes_[i]->sources_) {
                nodes_[std::stoul(source)]->receivers_.push_back(i);
            }
        }
    }

    // Returns after which time the last instance has the change, if all have.
    std::optional<Duration> run()
    {
        for (std::size_t i = 0; i < watcherCount(); ++i) {
            if (spread_.doAllWatchesHear_ || i == 1) {
                auto &node = *nodes_[i];
                node.view_.apply({StoreEvent{configurationItem(11), false}}, atRevision(11), at(0));
                if (const auto change = node.changes_.takeDue(node.view_, at(0))) {
                    push(i, *change, i, at(0));
                }
            }
        }
        Duration last = Duration::zero();
        for (TimePoint now = at(0); now - at(0) < SpreadTimeLimit; now += SpreadStep) {
            while (!deliveries_.empty() && deliveries_.top().at_ <= now) {
                const auto delivery = deliveries_.top();
                deliveries_.pop();
                if (deliver(delivery)) {
                    last = delivery.at_ - at(0);
                }
            }
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                pushToSources(i, now);
            }
        }
        const bool areAllCurrent = std::ranges::all_of(nodes_, [](const auto &node) {
            return node->view_.at() == atRevision(11) && node->view_.configuration()->version_ == 11;
        });
        return areAllCurrent ? std::make_optional(last) : std::nullopt;
    }

    std::size_t messageCount() const
    {
        return messageCount_;
    }

    std::size_t mostMessagesReceived() const
    {
        std::size_t most = 0;
        for (const auto &node : nodes_) {
            most = std::max(most, node->received_);
        }
        return most;
    }

private:
    struct Node
    {
        StoreView view_ = makeView();
        ChangePush changes_;
        Duration linkDelay_ = Duration::zero();
        TimePoint linkFreeAt_;
        std::set<std::string> sources_;
        std::vector<std::size_t> receivers_;
        // What is known of the sources, and told to them.
        std::map<std::size_t, StoreVersion> knownVersions_;
        std::map<std::size_t, StoreVersion> toldVersions_;
        std::size_t received_ = 0;
    };

    struct Delivery
    {
        TimePoint at_;
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        ViewChange change_;

        bool operator<(const Delivery &other) const
        {
            return at_ > other.at_;
        }
    };

    // Evenly distributed and the same for each number of instances, so that one of the slowest is always among them.
    Duration linkDelay(std::size_t index) const
    {
        constexpr std::size_t Kinds = 8;
        constexpr std::size_t Step = 5;
        const auto rank = static_cast<Duration::rep>(index * Step % Kinds);
        return spread_.slowestLink_ / 10 + spread_.slowestLink_ * 9 / 10 * rank / static_cast<Duration::rep>(Kinds - 1);
    }

    static std::size_t watcherCount()
    {
        return DomainCount + CoordinatorCount;
    }

    void send(std::size_t from, std::size_t to, const ViewChange &change, TimePoint now)
    {
        auto &sender = *nodes_[from];
        const Duration sending(static_cast<Duration::rep>(static_cast<double>(contentBytes(change)) / WatcherBytesPerSecond * 1e6));
        sender.linkFreeAt_ = std::max(sender.linkFreeAt_, now) + sending;
        deliveries_.push({sender.linkFreeAt_ + sender.linkDelay_ + nodes_[to]->linkDelay_, from, to, change});
        ++messageCount_;
    }

    void push(std::size_t from, const ViewChange &change, std::size_t origin, TimePoint now)
    {
        for (const auto receiver : nodes_[from]->receivers_) {
            if (receiver != origin) {
                send(from, receiver, change, now);
            }
        }
    }

    // Returns whether it was new.
    bool deliver(const Delivery &delivery)
    {
        auto &node = *nodes_[delivery.to_];
        ++node.received_;
        node.knownVersions_[delivery.from_] = delivery.change_.to_;
        const auto passedOn = node.changes_.receive(delivery.change_, node.view_, delivery.at_);
        if (passedOn) {
            push(delivery.to_, *passedOn, delivery.from_, delivery.at_);
        }
        return passedOn.has_value();
    }

    void pushToSources(std::size_t index, TimePoint now)
    {
        auto &node = *nodes_[index];
        for (const auto &source : node.sources_) {
            const auto to = std::stoul(source);
            for (const auto &change : node.changes_.takeMissing(node.knownVersions_[to], node.toldVersions_[to], now)) {
                send(index, to, change, now);
            }
        }
    }

    Spread spread_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::priority_queue<Delivery> deliveries_;
    std::size_t messageCount_ = 0;
};

// Returns the time of the last instance.
Duration check(const Spread &spread, Duration limit)
{
    SpreadModel model(spread);
    const auto last = model.run();
    std::ostringstream row;
    row << spread.name_ << ": " << spread.instances_ << " instances, all have the change after "
        << (last ? std::chrono::duration<double>(*last).count() : std::numeric_limits<double>::infinity()) << " s, " << model.messageCount()
        << " messages, at most " << model.mostMessagesReceived() << " to one";
    std::cout << row.str() << '\n';
    CPPUNIT_ASSERT_MESSAGE(row.str(), last && *last <= limit);
    // Two by pushes, and two that a slow link makes superfluous.
    CPPUNIT_ASSERT_MESSAGE(row.str(), model.messageCount() <= 4 * spread.instances_);
    return *last;
}

} // namespace

class TestChangePush : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestChangePush);
    CPPUNIT_TEST(changeThatJoinsOnIsAppliedCompletely);
    CPPUNIT_TEST(changeThatDoesNotJoinOnIsAppliedByItem);
    CPPUNIT_TEST(delayedChangeBringsNothingBack);
    CPPUNIT_TEST(pushedRemovalSurvivesAnOlderRead);
    CPPUNIT_TEST(pushedItemSurvivesOlderStates);
    CPPUNIT_TEST(viewWithoutContentIgnoresChanges);
    CPPUNIT_TEST(changesOfAllKindsAreTakenOnce);
    CPPUNIT_TEST(onlyWhatBindsIsPushedOfLargerChanges);
    CPPUNIT_TEST(changesAreBounded);
    CPPUNIT_TEST(onlyNewsIsPassedOn);
    CPPUNIT_TEST(sourcesAreToldOnceWhatTheyLack);
    CPPUNIT_TEST(sourcesAreTwoAndDifferent);
    CPPUNIT_TEST(removalAfterAPartIsNotLost);
    CPPUNIT_TEST(removalAfterAPartIsNotLostWhenFetched);
    CPPUNIT_TEST(heldUpWatchBringsNoServerBack);
    CPPUNIT_TEST(heldUpWatchBringsNoServerBackAfterAFetch);
    CPPUNIT_TEST(evacuationTakenBackDoesNotStay);
    CPPUNIT_TEST(sourceThatReadsAllTellsOfRemovals);
    CPPUNIT_TEST(heldUpWatchBringsNoCoordinatorBack);
    CPPUNIT_TEST(changeOfAnotherEraIsNeitherAppliedNorPassedOn);
    CPPUNIT_TEST(nextChangeAfterACopyIsPushed);
    CPPUNIT_TEST(sourcesAreNotToldOfAnotherEra);
    CPPUNIT_TEST(messageRoundTrips);
    CPPUNIT_TEST(earlierInstancesReadPingsAndPongs);
    CPPUNIT_TEST(spreadDoesNotGrowWithTheNumber);
    CPPUNIT_TEST(spreadFromOneWatchReachesAll);
    CPPUNIT_TEST_SUITE_END();

public:
    void changeThatJoinsOnIsAppliedCompletely()
    {
        auto sender = loadedView();
        sender.apply({StoreEvent{configurationItem(11), false}, StoreEvent{{"other/key", "x", atRevision(12), {}}, false}, StoreEvent{serverItem(13), true}},
                     atRevision(13),
                     at(0));
        const auto change = sender.changeSince(atRevision(10));
        CPPUNIT_ASSERT(change.isComplete_);
        auto view = loadedView();
        CPPUNIT_ASSERT(view.apply(change, at(0)));
        CPPUNIT_ASSERT_EQUAL(atRevision(13), view.at());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), view.configuration()->version_);
        CPPUNIT_ASSERT(view.server("s1") == nullptr);
        CPPUNIT_ASSERT(view.changeSince(atRevision(10)) == change);
        CPPUNIT_ASSERT(!view.apply(change, at(0)));
        // A view that has some of it already.
        auto later = loadedView();
        later.apply({StoreEvent{configurationItem(11), false}}, atRevision(11), at(0));
        CPPUNIT_ASSERT(later.apply(change, at(0)));
        CPPUNIT_ASSERT(later.changeSince(atRevision(10)) == change);
    }

    void changeThatDoesNotJoinOnIsAppliedByItem()
    {
        auto view = loadedView();
        const ViewChange gap{
            atRevision(20), atRevision(24), true, {configurationItem(22), {"other/key", "x", atRevision(23), {}}}, {{serverItem(0).key_, atRevision(24)}}};
        CPPUNIT_ASSERT(view.apply(gap, at(0)));
        CPPUNIT_ASSERT_EQUAL(atRevision(10), view.at());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(22), view.configuration()->version_);
        CPPUNIT_ASSERT(view.server("s1") == nullptr);
        CPPUNIT_ASSERT(!view.apply(gap, at(0)));
        // The complete update follows; it was made from the same state, and others get everything from this view.
        auto sender = loadedView();
        sender.apply({StoreEvent{{"other/first", "y", atRevision(20), {}}, false},
                      StoreEvent{configurationItem(22), false},
                      StoreEvent{{"other/key", "x", atRevision(23), {}}, false},
                      StoreEvent{serverItem(24), true}},
                     atRevision(24),
                     at(0));
        view.apply(sender.changesSince(atRevision(10)), at(0));
        CPPUNIT_ASSERT_EQUAL(atRevision(24), view.at());
        CPPUNIT_ASSERT(view.changeSince(atRevision(10)) == sender.changeSince(atRevision(10)));
    }

    // The view is complete up to its revision, so an older item that it doesn't have was removed.
    void delayedChangeBringsNothingBack()
    {
        auto view = makeView();
        view.replace({configurationItem(5)}, atRevision(30), at(0));
        CPPUNIT_ASSERT(!view.apply(ViewChange{atRevision(8), atRevision(12), true, {serverItem(9)}, {}}, at(0)));
        CPPUNIT_ASSERT(
            !view.apply(ViewChange{{}, atRevision(12), false, {serverItem(9), configurationItem(4)}, {{Platform::ConfigurationKey, atRevision(12)}}}, at(0)));
        CPPUNIT_ASSERT(view.server("s1") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), view.configuration()->version_);
    }

    void pushedRemovalSurvivesAnOlderRead()
    {
        auto view = loadedView();
        CPPUNIT_ASSERT(view.apply(ViewChange{{}, atRevision(24), false, {}, {{serverItem(0).key_, atRevision(24)}}}, at(0)));
        CPPUNIT_ASSERT(view.server("s1") == nullptr);
        view.replace({configurationItem(5), serverItem(6)}, atRevision(20), at(0));
        CPPUNIT_ASSERT(view.server("s1") == nullptr);
        // A removal that is pushed before the item is known at all.
        auto early = makeView();
        early.replace({configurationItem(5)}, atRevision(10), at(0));
        early.apply(ViewChange{{}, atRevision(24), false, {}, {{serverItem(0).key_, atRevision(24)}}}, at(0));
        early.apply({StoreEvent{serverItem(15), false}}, atRevision(15), at(0));
        CPPUNIT_ASSERT(early.server("s1") == nullptr);
        early.apply({StoreEvent{serverItem(30), false}}, atRevision(30), at(0));
        CPPUNIT_ASSERT(early.server("s1") != nullptr);
    }

    void pushedItemSurvivesOlderStates()
    {
        auto view = makeView();
        view.replace({configurationItem(5)}, atRevision(10), at(0));
        view.apply(ViewChange{{}, atRevision(24), false, {serverItem(24, "draining"), configurationItem(23)}, {}}, at(0));
        view.replace({configurationItem(5)}, atRevision(20), at(0));
        ViewUpdate snapshot{atRevision(21), true, {configurationItem(5)}, {}};
        view.apply(snapshot, at(0));
        CPPUNIT_ASSERT(view.server("s1") != nullptr && view.server("s1")->state_ == ServerState::Draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(23), view.configuration()->version_);
        view.replace({configurationItem(23)}, atRevision(25), at(0));
        CPPUNIT_ASSERT(view.server("s1") == nullptr);
    }

    void viewWithoutContentIgnoresChanges()
    {
        auto view = makeView();
        CPPUNIT_ASSERT(!view.apply(ViewChange{{}, atRevision(24), false, {configurationItem(23)}, {}}, at(0)));
        CPPUNIT_ASSERT(!view.apply(ViewChange{{}, atRevision(24), true, {configurationItem(23)}, {}}, at(0)));
        CPPUNIT_ASSERT(!view.configuration());
    }

    void changesOfAllKindsAreTakenOnce()
    {
        auto view = loadedView();
        ChangePush changes;
        CPPUNIT_ASSERT(!changes.takeDue(view, at(0)));
        view.apply({StoreEvent{{"other/key", "x", atRevision(11), {}}, false}, StoreEvent{serverItem(12), true}}, atRevision(12), at(0));
        const auto change = changes.takeDue(view, at(0));
        CPPUNIT_ASSERT(change && change->isComplete_);
        CPPUNIT_ASSERT_EQUAL(atRevision(10), change->from_);
        CPPUNIT_ASSERT_EQUAL(atRevision(12), change->to_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), change->items_.size());
        CPPUNIT_ASSERT(change->removals_ == std::vector<ViewRemoval>({{serverItem(0).key_, atRevision(12)}}));
        CPPUNIT_ASSERT(!changes.takeDue(view, at(0)));
    }

    void onlyWhatBindsIsPushedOfLargerChanges()
    {
        auto view = loadedView();
        ChangePush changes;
        changes.takeDue(view, at(0));
        view.apply({StoreEvent{{"other/key", std::string(MaxPushedUnboundBytes, 'x'), atRevision(11), {}}, false}, StoreEvent{configurationItem(12), false}},
                   atRevision(12),
                   at(0));
        const auto change = changes.takeDue(view, at(0));
        CPPUNIT_ASSERT(change && !change->isComplete_);
        CPPUNIT_ASSERT(change->items_ == std::vector<StoreItem>({configurationItem(12)}));
        view.apply({StoreEvent{{"other/key", std::string(MaxPushedUnboundBytes, 'y'), atRevision(13), {}}, false}}, atRevision(13), at(0));
        CPPUNIT_ASSERT(!changes.takeDue(view, at(0)));
    }

    void changesAreBounded()
    {
        auto view = loadedView();
        ChangePush changes;
        changes.takeDue(view, at(0));
        auto large = configurationItem(11);
        large.value_ += std::string(MaxPushedBytes, ' ');
        view.apply({StoreEvent{large, false}}, atRevision(11), at(0));
        CPPUNIT_ASSERT(!changes.takeDue(view, at(0)));
        view.apply({StoreEvent{configurationItem(12), false}}, atRevision(12), at(0));
        const auto change = changes.takeDue(view, at(0));
        CPPUNIT_ASSERT(change && change->isComplete_ && change->from_ == atRevision(11));
    }

    void onlyNewsIsPassedOn()
    {
        auto view = loadedView();
        ChangePush changes;
        changes.takeDue(view, at(0));
        const ViewChange change{atRevision(10), atRevision(11), true, {configurationItem(11)}, {}};
        CPPUNIT_ASSERT(changes.receive(change, view, at(0)) == change);
        CPPUNIT_ASSERT(!changes.receive(change, view, at(1)));
        // It is not pushed as the own change either.
        CPPUNIT_ASSERT(!changes.takeDue(view, at(1)));
        const ViewChange gap{atRevision(20), atRevision(24), true, {configurationItem(22)}, {}};
        CPPUNIT_ASSERT(changes.receive(gap, view, at(2)) == gap);
        CPPUNIT_ASSERT(!changes.receive(gap, view, at(3)));
    }

    void sourcesAreToldOnceWhatTheyLack()
    {
        auto view = loadedView();
        ChangePush changes;
        changes.takeDue(view, at(0));
        const ViewChange change{atRevision(10), atRevision(11), true, {configurationItem(11)}, {}};
        changes.receive(change, view, at(0));
        StoreVersion told;
        CPPUNIT_ASSERT(changes.takeMissing(atRevision(10), told, at(100)).empty());
        CPPUNIT_ASSERT(changes.takeMissing(atRevision(11), told, at(300)).empty());
        CPPUNIT_ASSERT(changes.takeMissing(atRevision(10), told, at(300)) == std::vector<ViewChange>{change});
        CPPUNIT_ASSERT(changes.takeMissing(atRevision(10), told, at(400)).empty());
        StoreVersion toldLater;
        CPPUNIT_ASSERT(changes.takeMissing(atRevision(10), toldLater, at(10'000)).empty());
    }

    void sourcesAreTwoAndDifferent()
    {
        std::set<std::string> watchers;
        for (int i = 0; i < 8; ++i) {
            watchers.insert("10.0.0." + std::to_string(i) + ":1");
        }
        std::map<std::string, std::size_t> counts;
        constexpr std::size_t Count = 1200;
        for (std::size_t i = 0; i < Count; ++i) {
            const auto sources = chooseChangeSources(hostName(i), "10.0.0.0:1", watchers);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), sources.size());
            CPPUNIT_ASSERT(sources.contains("10.0.0.0:1"));
            for (const auto &source : sources) {
                ++counts[source];
            }
        }
        for (const auto &watcher : watchers) {
            CPPUNIT_ASSERT(counts[watcher] > Count / 14);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), chooseChangeSources("edge-1", "10.9.0.0:1", watchers).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chooseChangeSources("edge-1", "a", {"b"}).size());
        CPPUNIT_ASSERT(chooseChangeSources("edge-1", "", {}).empty());
    }

    static StoreItem secondServer(Revision revision)
    {
        return {Platform::ServerPrefix + std::string("s2"), serverText(), atRevision(revision), {}};
    }

    // Views of two instances.
    struct FollowerAndSource
    {
        StoreView follower_ = loadedView();
        StoreView source_ = loadedView();
    };

    // The follower holds an item by a part push; the source learns the whole at once, fetched, and never knew the item.
    static FollowerAndSource makeFollowerWithPart(const StoreItem &item)
    {
        FollowerAndSource views;
        auto watcher = loadedView();
        watcher.apply({StoreEvent{configurationItem(12), false}}, atRevision(12), at(1));
        watcher.apply({StoreEvent{item, false}}, atRevision(13), at(2));
        views.follower_.apply(watcher.changeSince(atRevision(12)), at(3));
        watcher.apply({StoreEvent{item, true}}, atRevision(13), at(4));
        StoreItem gone = item;
        gone.version_ = atRevision(14);
        watcher.apply({StoreEvent{gone, true}}, atRevision(14), at(4));
        views.source_.apply(watcher.changesSince(atRevision(10)), at(5));
        return views;
    }

    void removalAfterAPartIsNotLost()
    {
        auto both = makeFollowerWithPart(secondServer(13));
        CPPUNIT_ASSERT(both.follower_.server("s2") != nullptr);
        CPPUNIT_ASSERT(both.source_.server("s2") == nullptr);
        both.follower_.apply(both.source_.changeSince(atRevision(10)), at(6));
        CPPUNIT_ASSERT_EQUAL(atRevision(14), both.follower_.at());
        CPPUNIT_ASSERT_MESSAGE("a removed server stays for good", both.follower_.server("s2") == nullptr);
    }

    void removalAfterAPartIsNotLostWhenFetched()
    {
        auto both = makeFollowerWithPart(secondServer(13));
        both.follower_.apply(both.source_.changesSince(atRevision(10)), at(6));
        CPPUNIT_ASSERT_EQUAL(atRevision(14), both.follower_.at());
        CPPUNIT_ASSERT_MESSAGE("a removed server stays for good", both.follower_.server("s2") == nullptr);
    }

    void evacuationTakenBackDoesNotStay()
    {
        auto both = makeFollowerWithPart({Platform::EvacuationPrefix + std::string("north"), "{}", atRevision(13), {}});
        both.follower_.apply(both.source_.changesSince(atRevision(10)), at(6));
        CPPUNIT_ASSERT_MESSAGE("an evacuation taken back stays for good", both.follower_.evacuatedDomains().empty());
    }

    void heldUpWatchBringsNoServerBack()
    {
        auto watcher = loadedView();
        watcher.apply({StoreEvent{secondServer(13), false}}, atRevision(13), at(1));
        watcher.apply({StoreEvent{secondServer(14), true}}, atRevision(14), at(2));
        auto late = loadedView();
        late.apply(watcher.changeSince(atRevision(10)), at(3));
        CPPUNIT_ASSERT_EQUAL(atRevision(14), late.at());
        // The answer of its own watch was on its way since before the removal; the next watch begins at 14.
        late.apply({StoreEvent{secondServer(13), false}}, atRevision(13), at(4));
        CPPUNIT_ASSERT_EQUAL(atRevision(14), late.at());
        CPPUNIT_ASSERT_MESSAGE("a removed server came back", late.server("s2") == nullptr);
    }

    void heldUpWatchBringsNoServerBackAfterAFetch()
    {
        auto watcher = loadedView();
        watcher.apply({StoreEvent{secondServer(13), false}}, atRevision(13), at(1));
        watcher.apply({StoreEvent{secondServer(14), true}}, atRevision(14), at(2));
        auto late = loadedView();
        late.apply(watcher.changesSince(atRevision(10)), at(3));
        late.apply({StoreEvent{secondServer(13), false}}, atRevision(13), at(4));
        CPPUNIT_ASSERT_MESSAGE("a removed server came back", late.server("s2") == nullptr);
    }

    void sourceThatReadsAllTellsOfRemovals()
    {
        auto watcher = loadedView();
        watcher.apply({StoreEvent{configurationItem(12), false}}, atRevision(12), at(1));
        watcher.apply({StoreEvent{secondServer(13), false}}, atRevision(13), at(2));
        auto follower = loadedView();
        follower.apply(watcher.changeSince(atRevision(12)), at(3));
        CPPUNIT_ASSERT(follower.server("s2") != nullptr);
        auto source = loadedView();
        source.replace({configurationItem(12), serverItem(6)}, atRevision(14), at(4));
        follower.apply(source.changeSince(atRevision(10)), at(5));
        CPPUNIT_ASSERT_EQUAL(atRevision(14), follower.at());
        CPPUNIT_ASSERT_MESSAGE("a removed server stays for good", follower.server("s2") == nullptr);
    }

    void heldUpWatchBringsNoCoordinatorBack()
    {
        const MemberEntry member{"edge-9", "1", "10.0.0.9:1", "north", 200};
        const StoreItem item{coordinatorKey("one"), encodeCoordinator({member, {0, 1}, false, false, {}, {}}), atRevision(13), {}};
        StoreItem gone = item;
        gone.version_ = atRevision(14);
        auto watcher = loadedView();
        watcher.apply({StoreEvent{item, false}}, atRevision(13), at(1));
        watcher.apply({StoreEvent{gone, true}}, atRevision(14), at(2));
        auto late = loadedView();
        late.apply(watcher.changeSince(atRevision(10)), at(3));
        late.apply({StoreEvent{item, false}}, atRevision(13), at(4));
        CPPUNIT_ASSERT_MESSAGE("an ended coordinator came back", late.coordinator("one") == nullptr);
    }

    void changeOfAnotherEraIsNeitherAppliedNorPassedOn()
    {
        auto view = makeView();
        view.replace({{Platform::ConfigurationKey, configurationText(5), {2, 5}, {}}}, {2, 10}, at(0));
        ChangePush changes;
        changes.takeDue(view, at(0));
        for (const StoreEra era : {1, 3}) {
            for (const bool isComplete : {false, true}) {
                const ViewChange change{{era, 10}, {era, 11}, isComplete, {{Platform::ConfigurationKey, configurationText(6), {era, 11}, {}}}, {}};
                CPPUNIT_ASSERT(!changes.receive(change, view, at(1)));
                CPPUNIT_ASSERT_EQUAL(StoreVersion(2, 10), view.at());
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), view.configuration()->version_);
            }
        }
    }

    // The complete content of another era is fetched, not pushed.
    void nextChangeAfterACopyIsPushed()
    {
        auto view = makeView();
        view.replace({{Platform::ConfigurationKey, configurationText(5), {1, 5}, {}}}, {1, 10}, at(0));
        ChangePush changes;
        changes.takeDue(view, at(0));
        view.replace({{Platform::ConfigurationKey, configurationText(5), {2, 5}, {}}}, {2, 7}, at(1));
        CPPUNIT_ASSERT(!changes.takeDue(view, at(1)));
        view.apply({StoreEvent{{Platform::ConfigurationKey, configurationText(6), {2, 8}, {}}, false}}, {2, 8}, at(2));
        const auto change = changes.takeDue(view, at(2));
        CPPUNIT_ASSERT(change && change->isComplete_);
        CPPUNIT_ASSERT_EQUAL(StoreVersion(2, 7), change->from_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), change->items_.size());
    }

    void sourcesAreNotToldOfAnotherEra()
    {
        auto view = makeView();
        view.replace({{Platform::ConfigurationKey, configurationText(5), {2, 5}, {}}}, {2, 7}, at(0));
        ChangePush changes;
        changes.takeDue(view, at(0));
        view.apply({StoreEvent{{Platform::ConfigurationKey, configurationText(6), {2, 8}, {}}, false}}, {2, 8}, at(1));
        changes.takeDue(view, at(1));
        StoreVersion told{1, 20};
        CPPUNIT_ASSERT(changes.takeMissing({1, 20}, told, at(500)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.takeMissing({2, 7}, told, at(550)).size());
        CPPUNIT_ASSERT_EQUAL(StoreVersion(2, 8), told);
        CPPUNIT_ASSERT(changes.takeMissing({2, 7}, told, at(600)).empty());
    }

    void messageRoundTrips()
    {
        const ViewChange change{atRevision(10), atRevision(13), true, {configurationItem(11), serverItem(12)}, {{"servers/gone", atRevision(13)}}};
        const auto frame = encodeFrame(toMessage(change));
        auto message = decodeFrame(frame.data() + 4, frame.size() - 4);
        CPPUNIT_ASSERT(message && std::holds_alternative<ViewChangeMessage>(*message));
        CPPUNIT_ASSERT(toViewChange(std::get<ViewChangeMessage>(*message)) == change);
    }

    // An earlier instance closes a connection on which it receives an unknown message, so it has to be known which ones want or accept
    // pushed changes. They say neither, and what is new in pings and pongs does not keep them from reading these.
    void earlierInstancesReadPingsAndPongs()
    {
        msgpack::sbuffer ping;
        msgpack::pack(ping, std::make_tuple(PeerMessage(PingMessage()).index(), std::make_tuple(std::int64_t(9))));
        CPPUNIT_ASSERT(!std::get<PingMessage>(*decodeFrame(ping.data(), ping.size())).wantsChanges_);
        msgpack::sbuffer pong;
        msgpack::pack(
            pong,
            std::make_tuple(PeerMessage(PongMessage()).index(),
                            std::make_tuple(std::uint64_t(9), true, std::int64_t(3), std::int64_t(4), std::vector<int>(), std::int64_t(0), std::int64_t(7))));
        const auto decoded = std::get<PongMessage>(*decodeFrame(pong.data(), pong.size()));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), decoded.sentAt_);
        CPPUNIT_ASSERT(!decoded.acceptsChanges_);
        const auto frame = encodeFrame(PingMessage{9, 0, true});
        const auto handle = msgpack::unpack(frame.data() + 4, frame.size() - 4);
        // Earlier instances read the first element and pass over the others.
        const auto &content = handle.get().via.array.ptr[1];
        CPPUNIT_ASSERT(content.type == msgpack::type::ARRAY);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), content.via.array.ptr[0].as<std::int64_t>());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), content.as<EarlierPing>().sentAt_);
    }

    void spreadDoesNotGrowWithTheNumber()
    {
        const Duration few = check({.name_ = "all watches hear", .instances_ = 15}, 2s);
        for (const std::size_t count : {63, 195, 1200}) {
            const Duration many = check({.name_ = "all watches hear", .instances_ = count}, 2s);
            CPPUNIT_ASSERT(many <= few + 300ms);
        }
        for (const std::size_t count : {15, 63, 195, 1200}) {
            check({.name_ = "all watches hear, fast links", .instances_ = count, .slowestLink_ = 100ms}, 250ms);
        }
    }

    // The watches of the others are silent.
    void spreadFromOneWatchReachesAll()
    {
        for (const std::size_t count : {15, 63, 195, 1200}) {
            check({.name_ = "one watch hears", .instances_ = count, .doAllWatchesHear_ = false}, 6s);
            check({.name_ = "one watch hears, fast links", .instances_ = count, .doAllWatchesHear_ = false, .slowestLink_ = 100ms}, 1200ms);
        }
    }

private:
    struct EarlierPing
    {
        std::int64_t sentAt_ = 0;

        MSGPACK_DEFINE(sentAt_)
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestChangePush);
