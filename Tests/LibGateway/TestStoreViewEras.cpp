// Tests of the view when the store comes back from an older copy of its content.
#include <LibGateway/LibGateway.h>

#include <Tests/LibGateway/StoreEntries.h>
#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;
using Platform::StoreEvent;
using Platform::StoreItem;

namespace {

constexpr StoreEra Before = 4;
constexpr StoreEra After = 5;

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

StoreItem item(const std::string &key, const std::string &value, StoreVersion version)
{
    return {key, value, version, {}};
}

StoreEvent put(const std::string &key, const std::string &value, StoreVersion version)
{
    return {item(key, value, version), false};
}

StoreEvent removal(const std::string &key, StoreVersion version)
{
    return {{key, {}, version, {}}, true};
}

std::string memberText(const std::string &name, StoreEra era)
{
    return encodeMember({name, "7", "10.0.0.1:1", "north", 200, era});
}

} // namespace

class TestStoreViewEras : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreViewEras);
    CPPUNIT_TEST(completeReadOfAHigherEraReplacesTheView);
    CPPUNIT_TEST(changesOfAnotherEraAreIgnored);
    CPPUNIT_TEST(viewOfAnEarlierEraNeedsTheCompleteContent);
    CPPUNIT_TEST(contentOfANewEraLeavesOutKnownValues);
    CPPUNIT_TEST(valueThatIsNotThereIsNoticed);
    CPPUNIT_TEST(whatTheCopyLacksStaysForTheGrace);
    CPPUNIT_TEST(whatIsWrittenAgainStays);
    CPPUNIT_TEST(secondCopyWithinTheGraceBeginsItAnew);
    CPPUNIT_TEST(restoredEvacuationIsObeyed);
    CPPUNIT_TEST(olderConfigurationOfTheCopyIsNotUsed);
    CPPUNIT_TEST(configurationOfAnotherEraIsNotMissedUnlessThereIsOne);
    CPPUNIT_TEST(configurationReadByItselfIsTakenAcrossEras);
    CPPUNIT_TEST(olderDescriptionOfTheSameRunIsNotUsed);
    CPPUNIT_TEST(serverThatWasDrainingIsNotReadyByTheCopy);
    CPPUNIT_TEST(serverThatWasRemovedIsNotBackByTheCopy);
    CPPUNIT_TEST(noticeOfAnEarlierEraEndsOnlyByALaterEntry);
    CPPUNIT_TEST(serverThatTheCopyLacksIsBackWithItsEntry);
    CPPUNIT_TEST(olderRunDoesNotReplaceAYoungerOne);
    CPPUNIT_TEST(youngerRunThatDoesNotWriteAgainIsGoneAfterTheGrace);
    CPPUNIT_TEST(membersOfAnEarlierEraCountForTheGraceOnly);
    CPPUNIT_TEST(membersOfEarlierErasAreKnownUntilSeen);
    CPPUNIT_TEST(membersThatLeftShortlyBeforeAreKnown);
    CPPUNIT_TEST(eraIsKnownSinceItWasHeardOf);
    CPPUNIT_TEST_SUITE_END();

public:
    void completeReadOfAHigherEraReplacesTheView()
    {
        for (const bool isFromPeer : {false, true}) {
            StoreView view(handler());
            read(view, {item("servers/i-1", serverText(), {Before, 40})}, {Before, 50}, at(0));
            begin(view, {item("servers/i-2", serverText(), {After, 30})}, {After, 31}, at(10), isFromPeer);
            CPPUNIT_ASSERT_EQUAL(StoreVersion(After, 31), view.at());
            CPPUNIT_ASSERT(view.server("i-2") != nullptr);
            // A lower revision of this era is newer than all of the earlier one.
            view.apply({put("servers/i-1", serverText("draining"), {After, 32})}, {After, 32}, at(20));
            CPPUNIT_ASSERT(view.server("i-1")->state_ == ServerState::Draining);
        }
    }

    void changesOfAnotherEraAreIgnored()
    {
        read(view_, {item("servers/i-1", serverText(), {Before, 40})}, {Before, 50}, at(0));
        expectNothingNewOf({After, 60});
        begin(view_, {item("servers/i-1", serverText(), {After, 30})}, {After, 31}, at(10), false);
        expectNothingNewOf({Before, 60});
        read(view_, {}, {Before, 70}, at(30));
        CPPUNIT_ASSERT_EQUAL(StoreVersion(After, 31), view_.at());
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
    }

    void viewOfAnEarlierEraNeedsTheCompleteContent()
    {
        read(view_, {item("servers/i-1", serverText(), {Before, 40})}, {Before, 20}, at(0));
        view_.apply({put("servers/i-2", serverText(), {Before, 50})}, {Before, 50}, at(1));
        CPPUNIT_ASSERT(!view_.needsSnapshot({Before, 40}));
        begin(view_, {item("servers/i-1", serverText(), {After, 40})}, {After, 41}, at(10), false);
        CPPUNIT_ASSERT(view_.needsSnapshot({Before, 40}));
        CPPUNIT_ASSERT(view_.needsSnapshot({Before, 50}));
        CPPUNIT_ASSERT(view_.changesSince({Before, 50}).isSnapshot_);
        CPPUNIT_ASSERT(!view_.changeSince({Before, 50}).isComplete_);
        CPPUNIT_ASSERT(view_.changeSince({Before, 50}).items_.empty());
        // What was removed from this era's content before the read is not known either.
        CPPUNIT_ASSERT(view_.needsSnapshot({After, 40}));
        CPPUNIT_ASSERT(!view_.needsSnapshot({After, 41}));
    }

    // Guards against complete views on slow links to all instances whenever the store comes back from an older copy.
    void contentOfANewEraLeavesOutKnownValues()
    {
        const std::string same(100, 's');
        const std::vector<StoreItem> before{item("other/a", same, {Before, 10}), item("other/b", "old", {Before, 11}), item("other/c", "late", {Before, 49})};
        StoreView follower(handler());
        read(follower, before, {Before, 50}, at(0));
        read(view_, before, {Before, 50}, at(0));
        begin(view_,
              {item("other/a", same, {After, 10}),
               item("other/b", "new", {After, 12}),
               item("other/c", "late", {After, 13}),
               item("other/d", "added", {After, 14})},
              {After, 31},
              at(10),
              false);
        auto update = view_.changesSince({Before, 50});
        CPPUNIT_ASSERT(update.isSnapshot_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), update.items_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), update.unchanged_.size());
        CPPUNIT_ASSERT(view_.changeBytes({Before, 50}) < view_.changeBytes({}));
        // The last change of an item is not in a view from before.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), view_.changesSince({Before, 40}).unchanged_.size());
        // It is the same content for the receiver.
        CPPUNIT_ASSERT(follower.completeUpdate(update));
        follower.apply(update, at(20));
        CPPUNIT_ASSERT_EQUAL(view_.at(), follower.at());
        CPPUNIT_ASSERT(sortedItems(follower) == sortedItems(view_));
        // Nobody else has these values, and after a while nobody asks.
        CPPUNIT_ASSERT(view_.changesSince({}).unchanged_.empty());
        CPPUNIT_ASSERT(view_.changesSince({Before - 1, 50}).unchanged_.empty());
        const auto bytes = view_.contentBytes();
        view_.removeExpired(at(10010));
        CPPUNIT_ASSERT(view_.changesSince({Before, 50}).unchanged_.empty());
        CPPUNIT_ASSERT(view_.contentBytes() < bytes);
    }

    void valueThatIsNotThereIsNoticed()
    {
        read(view_, {item("other/a", "same", {Before, 10})}, {Before, 50}, at(0));
        begin(view_, {item("other/a", "same", {After, 10})}, {After, 31}, at(10), false);
        for (const auto &items :
             {std::vector<StoreItem>{item("other/a", "another", {Before, 10})}, std::vector<StoreItem>{item("other/b", "same", {Before, 10})}}) {
            StoreView follower(handler());
            read(follower, items, {Before, 50}, at(0));
            auto update = view_.changesSince(follower.at());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), update.unchanged_.size());
            CPPUNIT_ASSERT(!follower.completeUpdate(update));
        }
    }

    void whatTheCopyLacksStaysForTheGrace()
    {
        for (const bool isFromPeer : {false, true}) {
            const auto notices = std::make_shared<ServerNotices>();
            StoreView view(handler(), notices);
            readAll(view, {Before, 50}, at(0));
            begin(view, {}, {After, 31}, at(10), isFromPeer);
            expectAll(view, true);
            CPPUNIT_ASSERT(!view.removeExpired(at(2200)));
            expectAll(view, true);
            CPPUNIT_ASSERT(!notices->isLeaving({"i-1", 5}, at(2200)));
            CPPUNIT_ASSERT(notices->isLeaving({"i-1", 5}, at(2210)));
            CPPUNIT_ASSERT(view.removeExpired(at(2210)));
            expectAll(view, false);
        }
    }

    void whatIsWrittenAgainStays()
    {
        readAll(view_, {Before, 50}, at(0));
        begin(view_, {}, {After, 31}, at(10), false);
        view_.apply({put("servers/i-1", serverText("ready", 5, 11), {After, 32}),
                     put("op/evacuate/north", "{}", {After, 33}),
                     put(memberKey("a"), memberText("a", After), {After, 34})},
                    {After, 34},
                    at(1500));
        view_.removeExpired(at(2210));
        expectAll(view_, true);
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 5}, at(2210)));
    }

    // Guards against a server that is given up while it has not had the time to write its entry since the store was away last.
    void secondCopyWithinTheGraceBeginsItAnew()
    {
        readAll(view_, {Before, 50}, at(0));
        begin(view_, {}, {After, 31}, at(10), false);
        begin(view_, {}, {After + 1, 31}, at(2000), false);
        view_.removeExpired(at(4190));
        expectAll(view_, true);
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 5}, at(4190)));
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 5}, at(4200)));
        view_.removeExpired(at(4200));
        expectAll(view_, false);
    }

    void restoredEvacuationIsObeyed()
    {
        read(view_, {item("servers/i-1", serverText("ready", 5, 10), {Before, 40})}, {Before, 50}, at(0));
        begin(view_, {item("servers/i-1", serverText("ready", 5, 10), {After, 20}), item("op/evacuate/north", "{}", {After, 25})}, {After, 31}, at(10), false);
        view_.removeExpired(at(9000));
        CPPUNIT_ASSERT(view_.evacuatedDomains().contains("north"));
        view_.apply({removal("op/evacuate/north", {After, 40})}, {After, 40}, at(9010));
        CPPUNIT_ASSERT(!view_.evacuatedDomains().contains("north"));
    }

    void olderConfigurationOfTheCopyIsNotUsed()
    {
        const std::vector<std::vector<StoreItem>> copies{
            {item("op/config", configurationText(6), {After, 20})},
            {item("op/config", "{\"version\":", {After, 20})},
            {},
        };
        for (const auto &copy : copies) {
            StoreView view(handler());
            read(view, {item("op/config", configurationText(7), {Before, 40})}, {Before, 50}, at(0));
            begin(view, copy, {After, 31}, at(10), false);
            view.removeExpired(at(9000));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), view.configuration()->version_);
            CPPUNIT_ASSERT(view.configurationLag(at(9000)) == Duration::zero());
            view.apply({put("op/config", configurationText(9), {After, 32})}, {After, 32}, at(9010));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), view.configuration()->version_);
        }
    }

    void configurationOfAnotherEraIsNotMissedUnlessThereIsOne()
    {
        read(view_, {item("op/config", configurationText(7), {Before, 40})}, {Before, 50}, at(0));
        view_.expectConfiguration({After, 0}, at(0));
        CPPUNIT_ASSERT(view_.configurationLag(at(100)) == Duration::zero());
        view_.expectConfiguration({After, 20}, at(0));
        CPPUNIT_ASSERT(view_.configurationLag(at(100)) == Duration(100ms));
        begin(view_, {item("op/config", configurationText(6), {After, 20})}, {After, 31}, at(100), false);
        CPPUNIT_ASSERT(view_.configurationLag(at(100)) == Duration::zero());
        view_.expectConfiguration({Before, 60}, at(100));
        CPPUNIT_ASSERT(view_.configurationLag(at(200)) == Duration::zero());
    }

    void configurationReadByItselfIsTakenAcrossEras()
    {
        read(view_, {item("op/config", configurationText(7), {Before, 40})}, {Before, 50}, at(0));
        const auto changesBefore = view_.changeCount();
        CPPUNIT_ASSERT(!view_.takeConfiguration(item("op/config", configurationText(6), {After, 20})));
        CPPUNIT_ASSERT_EQUAL(changesBefore, view_.changeCount());
        CPPUNIT_ASSERT(view_.takeConfiguration(item("op/config", configurationText(9), {After, 32})));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), view_.configuration()->version_);
        CPPUNIT_ASSERT_EQUAL(changesBefore + 1, view_.changeCount());
        // Others are given the view's items, which stay as they are.
        CPPUNIT_ASSERT_EQUAL(StoreVersion(Before, 50), view_.at());
        CPPUNIT_ASSERT_EQUAL(configurationText(7), view_.changesSince({}).items_.front().value_);
        begin(view_, {item("op/config", configurationText(6), {After, 20})}, {After, 31}, at(10), false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), view_.configuration()->version_);
    }

    // Guards against a server that is cold again, or has other slots, until it writes its entry again.
    void olderDescriptionOfTheSameRunIsNotUsed()
    {
        read(view_, {item("servers/i-1", serverText("ready", 5, 10), {Before, 40})}, {Before, 50}, at(0));
        begin(view_, {item("servers/i-1", serverText("draining", 5, 8), {After, 30})}, {After, 31}, at(10), false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), view_.server("i-1")->sequence_);
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 5}, at(10)));
        view_.removeExpired(at(9000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), view_.server("i-1")->sequence_);
        view_.apply({put("servers/i-1", serverText("ready", 5, 11), {After, 32})}, {After, 32}, at(9010));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), view_.server("i-1")->sequence_);
        view_.apply({removal("servers/i-1", {After, 33})}, {After, 33}, at(9020));
        CPPUNIT_ASSERT(view_.server("i-1") == nullptr);
    }

    void serverThatWasDrainingIsNotReadyByTheCopy()
    {
        // With and without the start of its run, with and without a sequence.
        for (const UnixMilliseconds startTime : {0, 5}) {
            for (const int sequence : {0, 10}) {
                for (const bool isFromPeer : {false, true}) {
                    const auto notices = std::make_shared<ServerNotices>();
                    StoreView view(handler(), notices);
                    read(view, {item("servers/i-1", serverText("draining", startTime, sequence), {Before, 40})}, {Before, 50}, at(0));
                    begin(view, {item("servers/i-1", serverText("ready", startTime, sequence * 8 / 10), {After, 30})}, {After, 31}, at(10), isFromPeer);
                    CPPUNIT_ASSERT(notices->isLeaving({"i-1", startTime}, at(10)));
                    view.removeExpired(at(9000));
                    CPPUNIT_ASSERT(notices->isLeaving({"i-1", startTime}, at(9000)));
                }
            }
        }
    }

    void serverThatWasRemovedIsNotBackByTheCopy()
    {
        for (const UnixMilliseconds startTime : {0, 5}) {
            for (const int sequence : {0, 10}) {
                const auto notices = std::make_shared<ServerNotices>();
                StoreView view(handler(), notices);
                read(view, {item("servers/i-1", serverText("ready", startTime, sequence), {Before, 40})}, {Before, 50}, at(0));
                view.apply({removal("servers/i-1", {Before, 51})}, {Before, 51}, at(1));
                // Its last entry is the one of the copy.
                begin(view, {item("servers/i-1", serverText("ready", startTime, sequence), {After, 30})}, {After, 31}, at(10), false);
                CPPUNIT_ASSERT(notices->isLeaving({"i-1", startTime}, at(10)));
                CPPUNIT_ASSERT(view.server("i-1") == nullptr);
            }
        }
    }

    void noticeOfAnEarlierEraEndsOnlyByALaterEntry()
    {
        for (const int sequence : {0, 10}) {
            for (const std::string state : {"draining", "ready"}) {
                const auto notices = std::make_shared<ServerNotices>();
                StoreView view(handler(), notices);
                read(view, {item("servers/i-1", serverText(state, 5, sequence), {Before, 40})}, {Before, 50}, at(0));
                view.apply({removal("servers/i-1", {Before, 51})}, {Before, 51}, at(1));
                begin(view, {}, {After, 31}, at(10), false);
                // A write of before that the store executes late.
                if (sequence != 0) {
                    view.apply({put("servers/i-1", serverText("ready", 5, sequence), {After, 32})}, {After, 32}, at(15));
                    CPPUNIT_ASSERT(notices->isLeaving({"i-1", 5}, at(15)));
                }
                view.apply({put("servers/i-1", serverText("ready", 5, sequence == 0 ? 0 : sequence + 1), {After, 33})}, {After, 33}, at(20));
                CPPUNIT_ASSERT(!notices->isLeaving({"i-1", 5}, at(20)));
                CPPUNIT_ASSERT(view.server("i-1")->state_ == ServerState::Ready);
            }
        }
    }

    void serverThatTheCopyLacksIsBackWithItsEntry()
    {
        read(view_, {item("servers/i-1", serverText("ready", 5, 10), {Before, 40})}, {Before, 50}, at(0));
        begin(view_, {}, {After, 31}, at(10), false);
        view_.removeExpired(at(3000));
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 5}, at(3000)));
        view_.apply({put("servers/i-1", serverText("ready", 5, 10), {After, 32})}, {After, 32}, at(3010));
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 5}, at(3010)));
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
    }

    void olderRunDoesNotReplaceAYoungerOne()
    {
        // Known as restarted, or seen for the first time in its younger run.
        for (const bool isOlderKnown : {false, true}) {
            const auto notices = std::make_shared<ServerNotices>();
            StoreView view(handler(), notices);
            read(view, {item("servers/i-1", serverText("ready", isOlderKnown ? 6 : 7, 30), {Before, 40})}, {Before, 50}, at(0));
            view.apply({put("servers/i-1", serverText("ready", 7, 2), {Before, 51})}, {Before, 51}, at(1));
            begin(view, {item("servers/i-1", serverText("ready", 6, 30), {After, 30})}, {After, 31}, at(10), false);
            CPPUNIT_ASSERT(notices->isLeaving({"i-1", 6}, at(10)));
            CPPUNIT_ASSERT_EQUAL(UnixMilliseconds(7), view.server("i-1")->startTime_);
            CPPUNIT_ASSERT(!notices->isLeaving({"i-1", 7}, at(10)));
            view.apply({put("servers/i-1", serverText("ready", 7, 3), {After, 32})}, {After, 32}, at(900));
            view.removeExpired(at(9000));
            CPPUNIT_ASSERT_EQUAL(UnixMilliseconds(7), view.server("i-1")->startTime_);
            CPPUNIT_ASSERT(!notices->isLeaving({"i-1", 7}, at(9000)));
            CPPUNIT_ASSERT(notices->isLeaving({"i-1", 6}, at(9000)));
        }
    }

    void youngerRunThatDoesNotWriteAgainIsGoneAfterTheGrace()
    {
        read(view_, {item("servers/i-1", serverText("ready", 7, 2), {Before, 40})}, {Before, 50}, at(0));
        begin(view_, {item("servers/i-1", serverText("ready", 6, 30), {After, 30})}, {After, 31}, at(10), false);
        view_.removeExpired(at(2210));
        CPPUNIT_ASSERT(view_.server("i-1") == nullptr);
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 6}, at(2210)));
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 7}, at(2210)));
    }

    // Guards against instances that are gone and stay members by the copy, since nothing removes their entries.
    void membersOfAnEarlierEraCountForTheGraceOnly()
    {
        read(view_,
             {item(memberKey("a"), withoutEra(memberText("a", 0)), {After, 20}),
              item(memberKey("b"), memberText("b", After), {After, 21}),
              item(memberKey("c"), memberText("c", Before), {After, 22}),
              item(memberKey("d"), memberText("d", Before), {After, 23})},
             {After, 31},
             at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), view_.members().size());
        view_.apply({put(memberKey("d"), memberText("d", After), {After, 32})}, {After, 32}, at(500));
        view_.removeExpired(at(2190));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), view_.members().size());
        view_.removeExpired(at(2200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view_.members().size());
        CPPUNIT_ASSERT(view_.members().contains("b"));
        CPPUNIT_ASSERT(view_.members().contains("d"));
        // It registers late.
        view_.apply({put(memberKey("a"), memberText("a", After), {After, 33})}, {After, 33}, at(5000));
        CPPUNIT_ASSERT(view_.members().contains("a"));
    }

    void membersOfEarlierErasAreKnownUntilSeen()
    {
        read(view_,
             {item(memberKey("a"), memberText("a", Before), {Before, 20}), item(memberKey("b"), memberText("b", Before), {Before, 21})},
             {Before, 30},
             at(0));
        CPPUNIT_ASSERT(view_.eraMembers().at("a").seenAt_ == at(0));
        begin(view_,
              {item(memberKey("a"), memberText("a", Before), {After, 20}), item(memberKey("c"), memberText("c", Before), {After, 22})},
              {After, 31},
              at(100),
              false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), view_.eraMembers().size());
        for (const auto &[name, member] : view_.eraMembers()) {
            CPPUNIT_ASSERT(!member.seenAt_);
        }
        view_.apply({put(memberKey("a"), memberText("a", After), {After, 32}), put(memberKey("d"), memberText("d", After), {After, 33})}, {After, 33}, at(400));
        // A write of the earlier era that the store has executed late.
        view_.apply({put(memberKey("b"), memberText("b", Before), {After, 34})}, {After, 34}, at(500));
        CPPUNIT_ASSERT(view_.eraMembers().at("a").seenAt_ == at(400));
        CPPUNIT_ASSERT(!view_.eraMembers().at("b").seenAt_);
        CPPUNIT_ASSERT(!view_.eraMembers().at("c").seenAt_);
        CPPUNIT_ASSERT(view_.eraMembers().at("d").seenAt_ == at(400));
        // Each era is another one, also for those that have not been seen in the last.
        view_.removeExpired(at(2900));
        begin(view_, {}, {After + 1, 31}, at(3000), false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), view_.eraMembers().size());
        CPPUNIT_ASSERT(!view_.eraMembers().at("a").seenAt_);
    }

    // Guards against a granter that goes on without a lease and is taken for stopped, since its entry was gone before the store came back.
    void membersThatLeftShortlyBeforeAreKnown()
    {
        read(view_,
             {item(memberKey("a"), memberText("a", Before), {Before, 20}), item(memberKey("b"), memberText("b", Before), {Before, 21})},
             {Before, 30},
             at(0));
        view_.apply({removal(memberKey("a"), {Before, 31})}, {Before, 31}, at(1000));
        view_.apply({removal(memberKey("b"), {Before, 32})}, {Before, 32}, at(2000));
        StoreView later = view_;
        begin(later, {}, {After, 31}, at(10500), false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), later.eraMembers().size());
        CPPUNIT_ASSERT(later.eraMembers().contains("b"));
        CPPUNIT_ASSERT(later.knowsAllEraMembers());
        begin(view_, {}, {After, 31}, at(8000), false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view_.eraMembers().size());
        CPPUNIT_ASSERT(!view_.knowsAllEraMembers());
    }

    void eraIsKnownSinceItWasHeardOf()
    {
        read(view_, {item("servers/i-1", serverText("ready", 5, 10), {Before, 40})}, {Before, 50}, at(0));
        CPPUNIT_ASSERT(view_.eraSeenAt() == at(0));
        view_.recordEra(After, at(1000));
        view_.recordEra(Before, at(1200));
        CPPUNIT_ASSERT(view_.eraSeenAt() == at(0));
        begin(view_, {}, {After, 31}, at(1500), false);
        CPPUNIT_ASSERT(view_.eraSeenAt() == at(1000));
        // The grace runs from then on.
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 5}, at(3199)));
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 5}, at(3200)));
    }

private:
    StoreView::ProblemHandler handler()
    {
        return [](const std::string &, const std::string &) {};
    }

    // As an earlier version of the program writes the entry.
    static std::string withoutEra(std::string text)
    {
        const std::string field = "\"era\":0,";
        const auto position = text.find(field);
        CPPUNIT_ASSERT(position != std::string::npos);
        return text.erase(position, field.size());
    }

    static void read(StoreView &view, const std::vector<StoreItem> &items, StoreVersion version, TimePoint now)
    {
        view.replace(items, version, now);
    }

    // The first complete content of an era, from the store or from a peer.
    static void begin(StoreView &view, const std::vector<StoreItem> &items, StoreVersion version, TimePoint now, bool isFromPeer)
    {
        if (isFromPeer) {
            view.apply(ViewUpdate{version, true, items, {}}, now);
        } else {
            read(view, items, version, now);
        }
    }

    // One entry of each kind that stays for the grace.
    static void readAll(StoreView &view, StoreVersion version, TimePoint now)
    {
        read(view,
             {item("servers/i-1", serverText("ready", 5, 10), {version.era_, 10}),
              item("op/evacuate/north", "{}", {version.era_, 11}),
              item(memberKey("a"), memberText("a", version.era_), {version.era_, 12})},
             version,
             now);
    }

    static void expectAll(const StoreView &view, bool isThere)
    {
        CPPUNIT_ASSERT_EQUAL(isThere, view.server("i-1") != nullptr);
        CPPUNIT_ASSERT_EQUAL(isThere, view.evacuatedDomains().contains("north"));
        CPPUNIT_ASSERT_EQUAL(isThere, view.members().contains("a"));
    }

    static std::vector<StoreItem> sortedItems(const StoreView &view)
    {
        auto items = view.changesSince({}).items_;
        std::ranges::sort(items, {}, &StoreItem::key_);
        return items;
    }

    // Tells the view of changes of another era in each way in which it can hear of them.
    void expectNothingNewOf(StoreVersion version)
    {
        const auto before = view_.at();
        const auto changesBefore = view_.changeCount();
        const auto added = item("servers/i-9", serverText(), version);
        const StoreVersion from{version.era_, 1};
        view_.apply({StoreEvent{added, false}, removal("servers/i-1", version)}, version, at(20));
        view_.apply(ViewUpdate{version, false, {added}, {"servers/i-1"}}, at(20));
        for (const bool isComplete : {false, true}) {
            CPPUNIT_ASSERT(!view_.apply(ViewChange{from, version, isComplete, {added}, {{"servers/i-1", version}}}, at(20)));
        }
        CPPUNIT_ASSERT_EQUAL(before, view_.at());
        CPPUNIT_ASSERT_EQUAL(changesBefore, view_.changeCount());
        CPPUNIT_ASSERT(view_.server("i-9") == nullptr);
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
    }

    std::shared_ptr<ServerNotices> notices_ = std::make_shared<ServerNotices>();
    StoreView view_{handler(), notices_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreViewEras);
