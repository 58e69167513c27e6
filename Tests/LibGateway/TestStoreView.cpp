// Tests of the store view and of the encoding of peer messages.
#include <LibGateway/LibGateway.h>

#include <Tests/LibGateway/StoreEntries.h>
#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

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

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    CPPUNIT_ASSERT(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

StoreEvent put(const std::string &key, const std::string &value, Revision revision)
{
    return {{key, value, atRevision(revision), {}}, false};
}

StoreEvent removal(const std::string &key, Revision revision)
{
    return {{key, {}, atRevision(revision), {}}, true};
}

} // namespace

class TestStoreView : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreView);
    CPPUNIT_TEST(entriesAreDecoded);
    CPPUNIT_TEST(invalidEntriesAreReportedAndSkipped);
    CPPUNIT_TEST(oddEntriesOfOtherWritersNameNothing);
    CPPUNIT_TEST(entryOfAnotherWriterTakesItsServerOutOfUse);
    CPPUNIT_TEST(entryThatLosesItsStartTimeNamesNoServer);
    CPPUNIT_TEST(olderStatesChangeNothing);
    CPPUNIT_TEST(delayedWatchResponseDoesNotBringBackRemovedServers);
    CPPUNIT_TEST(delayedUpdateOfAPeerDoesNotBringBackRemovedServers);
    CPPUNIT_TEST(removedServerMayRegisterAgain);
    CPPUNIT_TEST(configurationNeverGoesBack);
    CPPUNIT_TEST(versionOfAnUnusableConfigurationIsKnown);
    CPPUNIT_TEST(configurationLagCountsFromTheFirstNews);
    CPPUNIT_TEST(snapshotRemovesMissingEntries);
    CPPUNIT_TEST(expiredServersAreKeptDuringGracePeriod);
    CPPUNIT_TEST(leavingServersAreNoticed);
    CPPUNIT_TEST(entryRemovedAfterAnOutageLeavesOnlyAfterTheGracePeriod);
    CPPUNIT_TEST(olderDescriptionAppliedLateDoesNotEndDraining);
    CPPUNIT_TEST(olderDescriptionAppliedAfterTheRemovalDoesNotEndLeaving);
    CPPUNIT_TEST(olderDescriptionAppliedAfterAnUnusableEntryDoesNotEndLeaving);
    CPPUNIT_TEST(laterDescriptionAndNextRunAreUsedAfterTheRemoval);
    CPPUNIT_TEST(removalAfterAnUnusableEntryIsASign);
    CPPUNIT_TEST(nextRunAfterAnUnusableEntryIsASign);
    CPPUNIT_TEST(updatesBringOthersUpToDate);
    CPPUNIT_TEST(changeThatAWatchMissedReachesOthersAfterACompleteRead);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(messagesOfOlderInstancesAreRead);
    CPPUNIT_TEST(malformedFramesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void entriesAreDecoded()
    {
        view_.apply({put("op/config", configurationText(3), 11),
                     put("servers/i-1", serverText(), 12),
                     put("op/evacuate/north", "{}", 13),
                     put(memberKey("a"), encodeMember({"a", "7", "10.0.0.1:1", "north", 200}), 14),
                     put(coordinatorKey("one"), encodeMember({"a", "7", "10.0.0.1:1", "north", 200}), 15)},
                    atRevision(15),
                    at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), view_.configuration()->version_);
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
        CPPUNIT_ASSERT(view_.serversOf("one").front().isEvacuated_);
        CPPUNIT_ASSERT_EQUAL(std::string("7"), view_.coordinator("one")->member_.incarnation_);
        CPPUNIT_ASSERT_EQUAL(atRevision(15), view_.at());
        view_.apply({removal("op/evacuate/north", 16), removal(coordinatorKey("one"), 17)}, atRevision(17), at(1));
        CPPUNIT_ASSERT(!view_.serversOf("one").front().isEvacuated_);
        CPPUNIT_ASSERT(view_.coordinator("one") == nullptr);
    }

    void invalidEntriesAreReportedAndSkipped()
    {
        view_.apply({put("op/config", configurationText(3), 11), put("servers/i-1", serverText(), 12)}, atRevision(12), at(0));
        view_.apply(
            {put("op/config", "{\"version\":", 13), put("servers/i-2", "\xff\xfe", 14), put(assignmentKey("one"), "[]", 15), put(memberKey("b"), "5", 16)},
            atRevision(16),
            at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), problems_.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), view_.configuration()->version_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), view_.serverCount());
        // A server whose entry becomes invalid is removed.
        view_.apply({put("servers/i-1", "{}", 17)}, atRevision(17), at(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), view_.serverCount());
    }

    void oddEntriesOfOtherWritersNameNothing()
    {
        const std::string nested(100000, '[');
        const auto member = [](const std::string &address, const std::string &cpu) {
            return R"({"name":"a","incarnation":"7","domain":"north","peerAddress":")" + address + R"(","processorMilli":)" + cpu + "}";
        };
        const std::vector<std::pair<std::string, std::string>> entries{
            {"servers/odd-1", nested},
            {"servers/odd-2", nested + std::string(nested.size(), ']')},
            {"servers/odd-3", replaced(serverText(), "10.1.0.9:8080", "10.1.0.9:99999")},
            {"servers/odd-4", replaced(serverText(), "\"capacity\":2", "\"capacity\":1e999")},
            {memberKey("a"), member("10.0.0.1:99999", "200")},
            {memberKey("a"), member("nowhere", "200")},
            {memberKey("a"), member("10.0.0.1:80", "-1")},
            {memberKey("a"), member("10.0.0.1:80", "1e300")},
            {memberKey("a"), member("10.0.0.1:80", "18446744073709551615")},
            {memberKey("a"), nested},
            {coordinatorKey("one"), member("10.0.0.1:99999", "200")},
            {coordinatorKey("one"), nested},
            {assignmentKey("one"), nested},
            {assignmentKey("one"), R"({"nextToken":9,"ranges":{}})"},
        };
        Revision revision = 10;
        for (const auto &[key, value] : entries) {
            ++revision;
            view_.apply({put(key, value, revision), put("servers/i-1", serverText(), revision + 1)}, atRevision(revision + 1), at(0));
            ++revision;
            CPPUNIT_ASSERT_EQUAL(atRevision(revision), view_.at());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), view_.serverCount());
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
        CPPUNIT_ASSERT(view_.members().empty());
        CPPUNIT_ASSERT(view_.coordinator("one") == nullptr);
        CPPUNIT_ASSERT(view_.assignment("one") == nullptr);
        CPPUNIT_ASSERT_EQUAL(entries.size(), problems_.size());
    }

    // Guards against requests that a server of another service runs because another writer has overwritten the server's entry.
    void entryOfAnotherWriterTakesItsServerOutOfUse()
    {
        view_.apply({put("servers/i-1", serverText("ready", 5), 11), put("servers/i-2", serverText("ready", 6), 12)}, atRevision(12), at(0));
        const std::string foreign = replaced(serverText("ready", 5), "\"service\":\"one\"", "\"service\":\"two\"");
        Revision revision = 12;
        for (const char *field : {"\"version\":\"v1\",", "\"warmupLeftS\":0,", "\"sequence\":0,"}) {
            ++revision;
            view_.apply({put("servers/i-1", replaced(foreign, field, ""), revision)}, atRevision(revision), at(1));
            CPPUNIT_ASSERT_MESSAGE(field, view_.serversOf("two").empty());
            // What stood there before is no longer in the store, so it names nothing either.
            CPPUNIT_ASSERT_MESSAGE(field, view_.server("i-1") == nullptr);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), view_.serversOf("one").size());
            // The server's next heartbeat brings it back. It was never leaving.
            ++revision;
            view_.apply({put("servers/i-1", serverText("ready", 5), revision)}, atRevision(revision), at(2));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), view_.serversOf("one").size());
            CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 5}, at(2)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), problems_.size());
    }

    // A server that states the start of its run does so in each entry, so that one without it is by another writer.
    void entryThatLosesItsStartTimeNamesNoServer()
    {
        const auto withoutStart = replaced(serverText("ready", 5), ",\"born\":5", "");
        // Servers that have never stated it are used.
        view_.apply({put("servers/i-1", serverText("ready", 5), 11), put("servers/i-2", withoutStart, 12)}, atRevision(12), at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view_.serverCount());
        view_.apply({put("servers/i-1", withoutStart, 13), put("servers/i-2", withoutStart, 14)}, atRevision(14), at(1));
        CPPUNIT_ASSERT(view_.server("i-1") == nullptr);
        CPPUNIT_ASSERT(view_.server("i-2") != nullptr);
        // Nor does a second such entry.
        view_.apply({put("servers/i-1", withoutStart, 15)}, atRevision(15), at(2));
        CPPUNIT_ASSERT(view_.server("i-1") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), problems_.size());
        view_.apply({put("servers/i-1", serverText("ready", 5), 16)}, atRevision(16), at(3));
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
        // Once the entry has been removed, the id may be that of a server of other software.
        view_.apply({removal("servers/i-1", 17), put("servers/i-1", withoutStart, 18)}, atRevision(18), at(4));
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
    }

    void olderStatesChangeNothing()
    {
        view_.apply({put("servers/i-1", serverText("draining"), 20)}, atRevision(20), at(0));
        view_.apply({put("servers/i-1", serverText("ready"), 18), removal("servers/i-1", 19)}, atRevision(20), at(1));
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
        CPPUNIT_ASSERT(view_.server("i-1")->state_ == ServerState::Draining);
        view_.replace({}, atRevision(15), at(2));
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
        ViewUpdate old;
        old.at_ = atRevision(19);
        old.isSnapshot_ = true;
        view_.apply(old, at(3));
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
        CPPUNIT_ASSERT_EQUAL(atRevision(20), view_.at());
    }

    // Guards against servers that are used again after they have left: peers told of the removal while the own watch was held up.
    void delayedWatchResponseDoesNotBringBackRemovedServers()
    {
        view_.apply({put("servers/i-1", serverText(), 11), put(coordinatorKey("one"), encodeMember({"a", "7", "10.0.0.1:1", "north", 200}), 11)},
                    atRevision(11),
                    at(0));
        ViewUpdate update;
        update.at_ = atRevision(20);
        update.removedKeys_ = {"servers/i-1", coordinatorKey("one")};
        view_.apply(update, at(1));
        // The response ends before the removal. The next watch begins at the view's revision, so the removal is never reported.
        view_.apply({put("servers/i-1", serverText(), 12), put(coordinatorKey("one"), encodeMember({"b", "7", "10.0.0.2:1", "north", 200}), 13)},
                    atRevision(13),
                    at(2));
        CPPUNIT_ASSERT(view_.server("i-1") == nullptr);
        CPPUNIT_ASSERT(view_.coordinator("one") == nullptr);
        CPPUNIT_ASSERT_EQUAL(atRevision(20), view_.at());
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 0}, at(2)));
    }

    void delayedUpdateOfAPeerDoesNotBringBackRemovedServers()
    {
        view_.apply({put("servers/i-1", serverText(), 11)}, atRevision(11), at(0));
        view_.apply({removal("servers/i-1", 15)}, atRevision(15), at(1));
        ViewUpdate update;
        update.at_ = atRevision(16);
        update.items_ = {{"servers/i-1", serverText(), atRevision(12), {}}};
        view_.apply(update, at(2));
        CPPUNIT_ASSERT(view_.server("i-1") == nullptr);
    }

    void removedServerMayRegisterAgain()
    {
        view_.apply({put("servers/i-1", serverText(), 11)}, atRevision(11), at(0));
        view_.replace({}, atRevision(20), at(1));
        view_.apply({put("servers/i-1", serverText(), 21)}, atRevision(21), at(2));
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 0}, at(2)));
        // A peer tells of a removal, but not that the entry is back since: a complete read shows it.
        ViewUpdate update;
        update.at_ = atRevision(30);
        update.removedKeys_ = {"servers/i-1"};
        view_.apply(update, at(3));
        view_.replace({{"servers/i-1", serverText(), atRevision(25), {}}}, atRevision(31), at(4));
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
    }

    void configurationNeverGoesBack()
    {
        view_.apply({put("op/config", configurationText(9), 11)}, atRevision(11), at(0));
        view_.apply({put("op/config", configurationText(8), 12)}, atRevision(12), at(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), view_.configuration()->version_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), problems_.size());
    }

    // Guards against a configuration that stays out of force for good without a figure that shows it.
    void versionOfAnUnusableConfigurationIsKnown()
    {
        view_.apply({put("op/config", configurationText(9), 11)}, atRevision(11), at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), view_.newestConfigurationVersion());
        view_.apply({put("op/config", R"({"version":12,"resources":5})", 12)}, atRevision(12), at(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), view_.configuration()->version_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), view_.newestConfigurationVersion());
        // One that states no version, or an earlier one, is not newer.
        for (const char *text : {"{", R"({"version":"x"})", R"({"version":-1})", R"({"version":1e300})", R"({"version":10,"resources":5})"}) {
            view_.apply({put("op/config", text, view_.at().revision_ + 1)}, atRevision(view_.at().revision_ + 1), at(2));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), view_.newestConfigurationVersion());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), problems_.size());
        view_.apply({put("op/config", configurationText(13), view_.at().revision_ + 1)}, atRevision(view_.at().revision_ + 1), at(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(13), view_.newestConfigurationVersion());
    }

    void configurationLagCountsFromTheFirstNews()
    {
        view_.replace({{Platform::ConfigurationKey, configurationText(2), atRevision(5), {}}}, atRevision(10), at(0));
        CPPUNIT_ASSERT_EQUAL(atRevision(5), view_.configurationStoreVersion());
        // What was changed before the view's revision is known, whether or not the configuration was there then.
        view_.expectConfiguration(atRevision(10), at(0));
        CPPUNIT_ASSERT(view_.configurationLag(at(5000)) == Duration::zero());
        view_.expectConfiguration(atRevision(12), at(1000));
        view_.expectConfiguration(atRevision(14), at(1500));
        view_.expectConfiguration(atRevision(12), at(1600));
        CPPUNIT_ASSERT(view_.configurationLag(at(2000)) == Duration(1s));
        view_.apply({put(Platform::ConfigurationKey, configurationText(3), 12)}, atRevision(12), at(2000));
        CPPUNIT_ASSERT(view_.configurationLag(at(2000)) == Duration(1s));
        view_.apply(ViewChange{{}, atRevision(14), false, {{Platform::ConfigurationKey, configurationText(4), atRevision(14), {}}}, {}}, at(2100));
        CPPUNIT_ASSERT(view_.configurationLag(at(2100)) == Duration::zero());
        view_.expectConfiguration(atRevision(20), at(3000));
        CPPUNIT_ASSERT(view_.configurationLag(at(3500)) == Duration(500ms));
        view_.confirmConfiguration();
        CPPUNIT_ASSERT(view_.configurationLag(at(3500)) == Duration::zero());
    }

    void snapshotRemovesMissingEntries()
    {
        view_.apply({put("servers/i-1", serverText(), 11), put("servers/i-2", serverText(), 12)}, atRevision(12), at(0));
        view_.replace({{"servers/i-2", serverText(), atRevision(12), {}}, {"servers/i-3", serverText(), atRevision(20), {}}}, atRevision(21), at(1));
        CPPUNIT_ASSERT(view_.server("i-1") == nullptr);
        CPPUNIT_ASSERT(view_.server("i-3") != nullptr);
    }

    void expiredServersAreKeptDuringGracePeriod()
    {
        view_.apply({put("servers/i-1", serverText(), 11), put("servers/i-2", serverText(), 12)}, atRevision(12), at(0));
        view_.setExpiryGrace(at(2200));
        view_.replace({}, atRevision(20), at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view_.serverCount());
        view_.apply({put("servers/i-1", serverText(), 21)}, atRevision(21), at(900));
        CPPUNIT_ASSERT(!view_.removeExpired(at(2100)));
        CPPUNIT_ASSERT(view_.removeExpired(at(2300)));
        CPPUNIT_ASSERT(view_.server("i-1") != nullptr);
        CPPUNIT_ASSERT(view_.server("i-2") == nullptr);
        // After the grace period removals take effect at once.
        view_.apply({removal("servers/i-1", 22)}, atRevision(22), at(2400));
        CPPUNIT_ASSERT(view_.server("i-1") == nullptr);
    }

    void leavingServersAreNoticed()
    {
        view_.replace(
            {{"servers/i-1", serverText("ready", 5), atRevision(11), {}}, {"servers/i-2", serverText("ready", 6), atRevision(12), {}}}, atRevision(12), at(0));
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 5}, at(0)));
        view_.apply({put("servers/i-1", serverText("draining", 5), 13)}, atRevision(13), at(1));
        CPPUNIT_ASSERT((*storeSign("i-1", 5) == LeavingNotice{LeavingReason::Draining, NoticeSource::Watch, at(1), at(1), atRevision(13)}));
        // A later sign does not make the notice younger.
        view_.apply({removal("servers/i-1", 14)}, atRevision(14), at(2));
        CPPUNIT_ASSERT(storeSign("i-1", 5)->learntAt_ == at(1));
        ViewUpdate update;
        update.at_ = atRevision(15);
        update.removedKeys_ = {"servers/i-2"};
        view_.apply(update, at(3));
        CPPUNIT_ASSERT((*storeSign("i-2", 6) == LeavingNotice{LeavingReason::Removed, NoticeSource::Peer, at(3), at(3), atRevision(15)}));
        // A server that starts again under its id is another run.
        view_.apply({put("servers/i-2", serverText("ready", 7), 16), put("servers/i-2", serverText("ready", 8), 17)}, atRevision(17), at(4));
        CPPUNIT_ASSERT(storeSign("i-2", 7)->reason_ == LeavingReason::Restarted);
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-2", 8}, at(4)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), changes_.size());
        // An entry that is ready again ends the notice, and is reported.
        view_.apply({put("servers/i-1", serverText("ready", 5), 18)}, atRevision(18), at(5));
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 5}, at(5)));
        CPPUNIT_ASSERT(!changes_.back().notice_);
    }

    void entryRemovedAfterAnOutageLeavesOnlyAfterTheGracePeriod()
    {
        view_.apply({put("servers/i-1", serverText("ready", 5), 11)}, atRevision(11), at(0));
        view_.setExpiryGrace(at(2200));
        view_.replace({}, atRevision(20), at(10));
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 5}, at(2100)));
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 5}, at(2200)));
    }

    void olderDescriptionAppliedLateDoesNotEndDraining()
    {
        view_.apply({put("servers/i-1", serverText("ready", 5, 7), 11), put("servers/i-1", serverText("draining", 5, 9), 12)}, atRevision(12), at(0));
        view_.apply({put("servers/i-1", serverText("ready", 5, 8), 13)}, atRevision(13), at(1));
        CPPUNIT_ASSERT(view_.server("i-1")->state_ == ServerState::Draining);
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 5}, at(1)));
    }

    // Guards against requests to servers that have left, because a write of theirs was carried out after their entry's removal.
    void olderDescriptionAppliedAfterTheRemovalDoesNotEndLeaving()
    {
        view_.apply({put("servers/i-1", serverText("draining", 5, 7), 11), put("servers/i-1", serverText("draining", 5, 9), 12)}, atRevision(12), at(0));
        view_.apply({put("servers/i-2", serverText("ready", 6, 9), 13)}, atRevision(13), at(1));
        view_.apply({removal("servers/i-1", 14), removal("servers/i-2", 15)}, atRevision(15), at(2));
        view_.apply({put("servers/i-1", serverText("ready", 5, 8), 16), put("servers/i-2", serverText("ready", 6, 8), 17)}, atRevision(17), at(3));
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 5}, at(3)));
        CPPUNIT_ASSERT(notices_->isLeaving({"i-2", 6}, at(3)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), view_.serverCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), problems_.size());
        // Nor does a complete read that shows it.
        view_.replace({{"servers/i-1", serverText("ready", 5, 8), atRevision(18), {}}}, atRevision(18), at(4));
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 5}, at(4)));
    }

    void olderDescriptionAppliedAfterAnUnusableEntryDoesNotEndLeaving()
    {
        view_.apply({put("servers/i-1", serverText("draining", 5, 9), 11), put("servers/i-1", "{}", 12)}, atRevision(12), at(0));
        view_.apply({put("servers/i-1", serverText("ready", 5, 8), 13)}, atRevision(13), at(1));
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 5}, at(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), view_.serverCount());
    }

    void laterDescriptionAndNextRunAreUsedAfterTheRemoval()
    {
        view_.apply({put("servers/i-1", serverText("draining", 5, 9), 11), put("servers/i-2", serverText("ready", 6, 9), 12)}, atRevision(12), at(0));
        view_.apply({removal("servers/i-1", 13), removal("servers/i-2", 14)}, atRevision(14), at(1));
        view_.apply({put("servers/i-1", serverText("ready", 7, 1), 15), put("servers/i-2", serverText("ready", 6, 10), 16)}, atRevision(16), at(2));
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 7}, at(2)));
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-2", 6}, at(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view_.serverCount());
        // Without the start of the run, the next one cannot be told from the one that has left.
        view_.apply({put("servers/i-3", serverText("draining", 0, 9), 17), removal("servers/i-3", 18)}, atRevision(18), at(3));
        view_.apply({put("servers/i-3", serverText("ready", 0, 1), 19)}, atRevision(19), at(4));
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-3", 0}, at(4)));
        CPPUNIT_ASSERT(view_.server("i-3") != nullptr);
    }

    // Guards against placements by those that hold an earlier entry of a server that has left.
    void removalAfterAnUnusableEntryIsASign()
    {
        view_.apply({put("servers/i-1", serverText("ready", 5), 11), put("servers/i-1", "{}", 12)}, atRevision(12), at(0));
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 5}, at(0)));
        view_.apply({removal("servers/i-1", 13)}, atRevision(13), at(1));
        CPPUNIT_ASSERT((storeSign("i-1", 5) == LeavingNotice{LeavingReason::Removed, NoticeSource::Watch, at(1), at(1), atRevision(13)}));
    }

    void nextRunAfterAnUnusableEntryIsASign()
    {
        view_.apply({put("servers/i-1", serverText("ready", 5), 11), put("servers/i-1", "{}", 12), put("servers/i-1", serverText("ready", 6), 13)},
                    atRevision(13),
                    at(0));
        CPPUNIT_ASSERT((storeSign("i-1", 5) == LeavingNotice{LeavingReason::Restarted, NoticeSource::Watch, at(0), at(0), atRevision(13)}));
        CPPUNIT_ASSERT(!notices_->isLeaving({"i-1", 6}, at(0)));
        // An entry that is usable again replaces what was known before.
        view_.apply({put("servers/i-1", "{}", 14), put("servers/i-1", serverText("ready", 6), 15), removal("servers/i-1", 16)}, atRevision(16), at(1));
        CPPUNIT_ASSERT(notices_->isLeaving({"i-1", 6}, at(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes_.size());
    }

    void updatesBringOthersUpToDate()
    {
        view_.replace({{"servers/i-1", serverText(), atRevision(11), {}}, {"servers/i-2", serverText(), atRevision(12), {}}}, atRevision(12), at(0));
        StoreView other(handler());
        other.apply(view_.changesSince(atRevision(0)), at(0));
        CPPUNIT_ASSERT_EQUAL(atRevision(12), other.at());
        view_.apply({removal("servers/i-1", 13), put("servers/i-3", serverText(), 14)}, atRevision(14), at(1));
        const auto update = view_.changesSince(atRevision(12));
        CPPUNIT_ASSERT(!update.isSnapshot_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), update.items_.size());
        other.apply(toViewUpdate(toMessage(update)), at(1));
        CPPUNIT_ASSERT(other.server("i-1") == nullptr);
        CPPUNIT_ASSERT(other.server("i-3") != nullptr);
        CPPUNIT_ASSERT_EQUAL(atRevision(14), other.at());
        // A revision older than the removal history gets a snapshot.
        CPPUNIT_ASSERT(view_.changesSince(atRevision(5)).isSnapshot_);
    }

    void changeThatAWatchMissedReachesOthersAfterACompleteRead()
    {
        view_.replace({{"servers/i-1", serverText(), atRevision(11), {}}}, atRevision(11), at(0));
        StoreView follower(handler());
        StoreView lastFollower(handler());
        // The watch reports a later revision without the change at 12, while the store discards its history.
        view_.apply({}, atRevision(13), at(1));
        follower.apply(view_.changesSince(atRevision(0)), at(1));
        lastFollower.apply(follower.changesSince(atRevision(0)), at(1));
        view_.replace({{"servers/i-1", serverText("draining"), atRevision(12), {}}}, atRevision(14), at(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), view_.lateItemCount());
        follower.apply(view_.changesSince(follower.at()), at(2));
        CPPUNIT_ASSERT(follower.server("i-1")->state_ == ServerState::Draining);
        lastFollower.apply(follower.changesSince(lastFollower.at()), at(2));
        CPPUNIT_ASSERT(lastFollower.server("i-1")->state_ == ServerState::Draining);
    }

    void messagesRoundTrip()
    {
        PlacementRequest request;
        request.id_ = {"a", 5};
        request.workKind_ = "lookup";
        request.priority_ = 2;
        request.latencyObjectiveAt_ = at(300);
        request.deadline_ = at(800);
        request.attempt_ = AttemptKind::Retry;
        request.isCallerRetry_ = true;
        request.key_ = 77;
        request.avoidedServers_ = {"s1"};
        const auto frame = encodeFrame(toMessage("one", request, at(0)));
        const auto message = decodeFrame(frame.data() + 4, frame.size() - 4);
        CPPUNIT_ASSERT(message && std::holds_alternative<PlacementRequestMessage>(*message));
        auto back = toPlacementRequest(std::get<PlacementRequestMessage>(*message), "a", at(0));
        CPPUNIT_ASSERT(back == request);
        PlacementReport report;
        report.outcome_ = PlacementOutcome::Answered;
        report.duration_ = 12ms;
        report.load_ = ReportedLoad{1, 2, 3, 1.5};
        report.isServerLeaving_ = true;
        report.heldBackFor_ = 700ms;
        const auto finish = encodeFrame(toMessage("one", 5, {"s1", 7}, report));
        const auto decoded = std::get<FinishMessage>(*decodeFrame(finish.data() + 4, finish.size() - 4));
        CPPUNIT_ASSERT(toPlacementReport(decoded) == report);
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), decoded.server_);
        CPPUNIT_ASSERT_EQUAL(UnixMilliseconds(7), decoded.startTime_);
    }

    // Instances of two versions run side by side while one replaces the other.
    void messagesOfOlderInstancesAreRead()
    {
        msgpack::sbuffer buffer;
        // A pong as it was before it told of leaving servers.
        msgpack::pack(buffer, std::make_tuple(PeerMessage(PongMessage()).index(), std::make_tuple(std::uint64_t(9), true, std::int64_t(3), std::int64_t(4))));
        const auto message = decodeFrame(buffer.data(), buffer.size());
        CPPUNIT_ASSERT(message && std::get<PongMessage>(*message).revision_ == 9);
        CPPUNIT_ASSERT(std::get<PongMessage>(*message).leavingServers_.empty());
    }

    void malformedFramesAreRejected()
    {
        std::mt19937 random(3);
        const auto frame = encodeFrame(PlacementMessage{"one", 5, "s1", "10.0.0.1:1", 7, 42});
        for (int i = 0; i < 20000; ++i) {
            std::string bytes = frame.substr(4);
            bytes[random() % bytes.size()] = static_cast<char>(random());
            bytes.resize(random() % (bytes.size() + 1));
            decodeFrame(bytes.data(), bytes.size());
        }
        CPPUNIT_ASSERT(!decodeFrame("", 0));
        CPPUNIT_ASSERT(!decodeFrame("\x92\x7f\xc0", 3));
    }

private:
    StoreView::ProblemHandler handler()
    {
        return [this](const std::string &key, const std::string &reason) {
            problems_.push_back(key + ": " + reason);
        };
    }

    std::optional<LeavingNotice> storeSign(const std::string &id, UnixMilliseconds startTime) const
    {
        const auto *signs = notices_->signs({id, startTime});
        return signs == nullptr ? std::nullopt : signs->store_;
    }

    std::vector<std::string> problems_;
    std::vector<ServerChange> changes_;
    std::shared_ptr<ServerNotices> notices_ = std::make_shared<ServerNotices>([this](const ServerChange &change, TimePoint) {
        changes_.push_back(change);
    });
    StoreView view_{handler(), notices_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreView);
