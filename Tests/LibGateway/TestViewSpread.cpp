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
constexpr std::uint64_t Newest = 100;
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
    // The view of the others at the beginning; 0 for none.
    std::uint64_t initialRevision_ = 0;
    // No instance's view is ever confirmed by the store.
    bool isStoreAway_ = false;
    // Part of the instances that is killed after `KillTime` and starts again without a view.
    double killedPart_ = 0;
    // The first instance sends at a tenth of the others' rate.
    bool hasSlowHolder_ = false;
    // The first instance answers nothing.
    bool hasSilentHolder_ = false;
};

constexpr Duration KillTime = 1s;
constexpr Duration RestartTime = 2s;

struct Outcome
{
    Duration allCurrent_ = Duration::max();
    double peakQueuedBytes_ = 0;
    double sentBytes_ = 0;
};

class Model
{
public:
    explicit Model(Scenario scenario)
        : scenario_(std::move(scenario))
        , viewBytes_(100 * scenario_.instances_ + 300'000)
    {
        for (std::size_t i = 0; i < scenario_.instances_; ++i) {
            nodes_.push_back(std::make_unique<Node>(i));
            nodes_[i]->revision_ = i < scenario_.holders_ ? Newest : scenario_.initialRevision_;
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
                tellRevision(*node, now - start);
            }
            for (auto &node : nodes_) {
                ask(*node, now);
            }
            for (auto &node : nodes_) {
                answer(*node, now);
            }
            const bool isDone = std::ranges::all_of(nodes_, [](const auto &node) {
                return node->isUp_ && node->revision_ == Newest;
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
        std::uint64_t revision_ = 0;
        // What the others know of it.
        std::uint64_t toldRevision_ = 0;
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
                receiver.revision_ = std::max(receiver.revision_, node.revision_);
                receiver.asker_.recordAnswer(std::to_string(node.index_));
            }
        }
        outcome_.peakQueuedBytes_ = std::max(outcome_.peakQueuedBytes_, queued);
        std::erase_if(node.transfers_, [](const Transfer &transfer) {
            return transfer.left_ <= 0;
        });
    }

    void tellRevision(Node &node, Duration passed) const
    {
        // Pongs of different instances come at different times.
        const auto steps = static_cast<std::size_t>(passed / Step) + node.index_;
        if (steps % static_cast<std::size_t>(PongInterval / Step) == 0) {
            node.toldRevision_ = node.revision_;
        }
    }

    void ask(Node &node, TimePoint now)
    {
        if (!node.isUp_) {
            return;
        }
        std::vector<ViewSource> sources;
        if (node.revision_ < Newest) {
            for (const auto &other : nodes_) {
                // The others do not matter for the choice.
                if (other->isUp_ && other->toldRevision_ > node.revision_) {
                    const auto received = node.received_.find(other->index_);
                    sources.push_back({std::to_string(other->index_),
                                       atRevision(other->toldRevision_),
                                       other->index_ % DomainCount == node.index_ % DomainCount,
                                       received == node.received_.end() ? 0 : received->second});
                }
            }
        }
        const bool isCurrent = node.revision_ == Newest && !scenario_.isStoreAway_;
        if (const auto chosen = node.asker_.choose(sources, {atRevision(node.revision_), isCurrent, false}, now)) {
            const auto asked = std::stoul(*chosen);
            if (!scenario_.hasSilentHolder_ || asked != 0) {
                nodes_[asked]->answers_.request(node.index_, atRevision(node.revision_), now);
            }
        }
    }

    void answer(Node &node, TimePoint now) const
    {
        const auto sizeOf = [this](const StoreVersion &version) {
            return !version.exists() ? viewBytes_ : ChangeBytes;
        };
        for (const auto &turn : node.answers_.takeDue(sizeOf, now)) {
            const auto size = static_cast<double>(sizeOf(turn.version_));
            node.transfers_.push_back({turn.link_, size, size});
        }
    }

    Scenario scenario_;
    std::size_t viewBytes_;
    std::vector<std::unique_ptr<Node>> nodes_;
    Outcome outcome_;
};

void check(const Scenario &scenario, Duration limit)
{
    Model model(scenario);
    const auto outcome = model.run();
    const auto seconds = std::chrono::duration<double>(outcome.allCurrent_).count();
    const auto wholeViews = outcome.sentBytes_ / static_cast<double>(model.viewBytes() * scenario.instances_);
    std::ostringstream row;
    row << scenario.name_ << ": " << scenario.instances_ << " instances, all current after " << seconds << " s, at most " << outcome.peakQueuedBytes_ / 1000
        << " kB queued at one, " << outcome.sentBytes_ / 1e6 << " MB sent (" << wholeViews << " views for each instance)";
    std::cout << row.str() << '\n';
    CPPUNIT_ASSERT_MESSAGE(row.str(), outcome.allCurrent_ <= limit);
    const auto bound = std::max<std::size_t>(MaxAnswerBytes, 2 * model.viewBytes()) + scenario.instances_ * SmallViewAnswer;
    CPPUNIT_ASSERT_MESSAGE(row.str(), outcome.peakQueuedBytes_ <= static_cast<double>(bound));
    CPPUNIT_ASSERT_MESSAGE(row.str(), wholeViews <= 1.5 + scenario.killedPart_);
}

} // namespace

class TestViewSpread : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewSpread);
    CPPUNIT_TEST(allStartTogether);
    CPPUNIT_TEST(someAreKilledMeanwhile);
    CPPUNIT_TEST(storeIsAwayForAll);
    CPPUNIT_TEST(slowAndSilentHolders);
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
            check({.name_ = "store away, earlier view", .instances_ = count, .initialRevision_ = Newest - 1, .isStoreAway_ = true}, 2s);
        }
    }

    void slowAndSilentHolders()
    {
        for (const std::size_t count : {15, 63, 195, 1200}) {
            check({.name_ = "one slow holder", .instances_ = count, .hasSlowHolder_ = true}, 12s);
            check({.name_ = "one silent holder, earlier view", .instances_ = count, .initialRevision_ = Newest - 1, .hasSilentHolder_ = true}, 2s);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewSpread);
