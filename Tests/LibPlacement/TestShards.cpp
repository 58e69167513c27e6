// Tests the planning and granting of shard assignments.
#include <LibPlacement/LibPlacement.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

std::vector<ServerLoadView> makeServers(int count)
{
    std::vector<ServerLoadView> servers;
    for (int i = 0; i < count; ++i) {
        ServerLoadView view;
        view.id_ = "s" + std::to_string(i);
        view.startTime_ = 100 + i;
        view.slots_ = 2;
        servers.push_back(view);
    }
    return servers;
}

double utilization(const ShardAssignment &assignment, const ServerLoadView &server, const KeyLoad &load, TimePoint now)
{
    double sum = 0;
    for (const auto &range : assignment.ranges_) {
        if (range.holder_.server_ == server.id_) {
            sum += load.load(range.first_, range.last_, now) / server.slots_;
        }
    }
    return sum;
}

// A granter whose initial assignment is stored and granted.
ShardGranter makeGranterWithGrants(const std::vector<ServerLoadView> &servers, const KeyLoad &load)
{
    ShardGranter granter(GrantTimings(), std::nullopt, at(0));
    granter.plan(servers, load, at(0));
    granter.recordStored(*granter.plan(servers, load, at(1000)), at(1000));
    for (const auto &call : granter.takeGrants(at(1000))) {
        granter.recordGrantResult(call, at(1000), ShardCallOutcome::Accepted, at(1005));
    }
    return granter;
}

// Makes the second server ineligible and stores the resulting assignment.
void removeSecondServer(ShardGranter &granter, std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now)
{
    servers[1].isEligible_ = false;
    granter.recordStored(*granter.plan(servers, load, now), now);
}

} // namespace

class TestShards : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestShards);
    CPPUNIT_TEST(assignmentsRoundTripThroughEncoding);
    CPPUNIT_TEST(malformedAssignmentsAreRejected);
    CPPUNIT_TEST(firstAssignmentWaitsForAllServers);
    CPPUNIT_TEST(nothingIsGrantedBeforeItIsStored);
    CPPUNIT_TEST(releasedKeysMoveAtOnceWithTheirHandover);
    CPPUNIT_TEST(unreleasedKeysMoveWhenTheirGrantsExpire);
    CPPUNIT_TEST(unansweredGrantCountsAfterARelease);
    CPPUNIT_TEST(releaseWaitsForARenewalInProgress);
    CPPUNIT_TEST(successorRaisesAllTokensAndWaitsForEarlierGrants);
    CPPUNIT_TEST(refusedGrantIsNotRepeated);
    CPPUNIT_TEST(restartedServerGetsANewToken);
    CPPUNIT_TEST(timingsScaleWithTheMaximumHoldTime);
    CPPUNIT_TEST(renewalsKeepKeysHeld);
    CPPUNIT_TEST(keysOfAServerThatIgnoresReleasesAreExpectedWhenItsGrantsExpire);
    CPPUNIT_TEST(nothingIsHeldBeforeTheFirstAssignmentIsStored);
    CPPUNIT_TEST(fastServersGetMoreKeysInitially);
    CPPUNIT_TEST(hotKeysAreSpread);
    CPPUNIT_TEST(singleHotKeyDoesNotStopTheBalance);
    CPPUNIT_TEST(slowServersCarryTheirShareUnderFullLoad);
    CPPUNIT_TEST(successorRenewsKeysThatHaveJustMoved);
    CPPUNIT_TEST(evenLoadMovesNoKeys);
    CPPUNIT_TEST(newServerGetsKeys);
    CPPUNIT_TEST(releaseHasTheTokenOfTheNewRange);
    CPPUNIT_TEST(serverThatGetsItsKeysBackIsNotAskedToReleaseThem);
    CPPUNIT_TEST(refusalOfAnOutdatedRenewalEndsNoGrants);
    CPPUNIT_TEST(randomLivesNeverHaveTwoHolders);
    CPPUNIT_TEST(grantsThatArriveSecondsLateNeverMakeTwoHolders);
    CPPUNIT_TEST(tokensOfALaterEraAreAboveAllOfEarlierOnes);
    CPPUNIT_TEST(granterThatGoesOnInALaterEraKeepsItsHolders);
    CPPUNIT_TEST(movesWaitForGrantersOfEarlierEras);
    CPPUNIT_TEST(keysOfUnknownHoldersWaitForAllEarlierGrants);
    CPPUNIT_TEST(assignmentTellsSuccessorsThatHoldersAreUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void assignmentsRoundTripThroughEncoding()
    {
        ShardAssignment assignment;
        assignment.nextToken_ = 9;
        assignment.ranges_ = {{0, 99, {"s0", 1, 3}, {{"s1", 2, 1}}}, {100, 65535, {"s1", 2, 4}, {}}};
        CPPUNIT_ASSERT(decodeAssignment(encodeAssignment(assignment)) == assignment);
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), assignment.rangeOf(100)->holder_.server_);
        assignment.era_ = 3;
        assignment.granter_ = {"a", {"b"}, 20ms, 30ms};
        CPPUNIT_ASSERT(decodeAssignment(encodeAssignment(assignment)) == assignment);
        // An assignment of an earlier version names no era.
        const auto earlier = decodeAssignment(R"({"nextToken":2,"ranges":[{"first":0,"last":65535,"holder":["s0",1,1],"previous":[]}]})");
        CPPUNIT_ASSERT(earlier && earlier->era_ == 0);
    }

    void malformedAssignmentsAreRejected()
    {
        for (const char *text : {"", "{}", "[]", "{\"nextToken\":1,\"ranges\":[]}", "{\"nextToken\":1,\"ranges\":[{\"first\":1}]}", "\xff\xfe"}) {
            CPPUNIT_ASSERT(!decodeAssignment(text));
        }
    }

    void firstAssignmentWaitsForAllServers()
    {
        KeyLoad load;
        ShardGranter granter(GrantTimings(), std::nullopt, at(0));
        CPPUNIT_ASSERT(!granter.plan(makeServers(1), load, at(0)));
        CPPUNIT_ASSERT(!granter.plan(makeServers(4), load, at(500)));
        CPPUNIT_ASSERT(!granter.plan(makeServers(4), load, at(900)));
        const auto first = granter.plan(makeServers(4), load, at(1300));
        CPPUNIT_ASSERT(first && first->isComplete());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), first->ranges_.size());
    }

    void nothingIsGrantedBeforeItIsStored()
    {
        KeyLoad load;
        const auto servers = makeServers(2);
        ShardGranter granter(GrantTimings(), std::nullopt, at(0));
        granter.plan(servers, load, at(0));
        const auto first = granter.plan(servers, load, at(1000));
        CPPUNIT_ASSERT(granter.takeGrants(at(1000)).empty());
        granter.recordStored(*first, at(1010));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), granter.takeGrants(at(1010)).size());
    }

    void releasedKeysMoveAtOnceWithTheirHandover()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        removeSecondServer(granter, servers, load, at(1200));
        const auto releases = granter.takeReleases(at(1200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), releases.size());
        CPPUNIT_ASSERT(granter.takeGrants(at(1201)).empty());
        granter.recordReleaseResult(releases.front(), ShardCallOutcome::Accepted, "token", at(1250));
        const auto grants = granter.takeGrants(at(1250));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), grants.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s0"), grants.front().holder_.server_);
        CPPUNIT_ASSERT_EQUAL(std::string("token"), grants.front().handover_);
        CPPUNIT_ASSERT(grants.front().holder_.token_ > releases.front().holder_.token_);
    }

    void unreleasedKeysMoveWhenTheirGrantsExpire()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        removeSecondServer(granter, servers, load, at(1200));
        const auto releases = granter.takeReleases(at(1200));
        granter.recordReleaseResult(releases.front(), ShardCallOutcome::NotSent, "", at(1250));
        const GrantTimings timings;
        // The clock of the server may run 2% slow.
        const auto expiresAt = at(1005) + timings.holdTime_ + timings.holdTime_ / 50;
        const auto moved = [&granter](TimePoint now) {
            const auto grants = granter.takeGrants(now);
            return std::ranges::any_of(grants, [](const GrantCall &call) {
                return call.holder_.server_ == "s0" && call.first_ > 0;
            });
        };
        CPPUNIT_ASSERT(!moved(expiresAt));
        CPPUNIT_ASSERT(moved(expiresAt + 1s));
    }

    void unansweredGrantCountsAfterARelease()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        // A renewal sent to the second server is not answered.
        for (const auto &call : granter.takeGrants(at(2000))) {
            granter.recordGrantResult(call, at(2000), call.holder_.server_ == "s1" ? ShardCallOutcome::Unanswered : ShardCallOutcome::Accepted, at(2700));
        }
        removeSecondServer(granter, servers, load, at(2700));
        const auto releases = granter.takeReleases(at(2700));
        granter.recordReleaseResult(releases.front(), ShardCallOutcome::Accepted, "token", at(2750));
        const auto isMoved = [&granter](TimePoint now) {
            const auto grants = granter.takeGrants(now);
            return std::ranges::any_of(grants, [](const GrantCall &call) {
                return call.first_ > 0;
            });
        };
        CPPUNIT_ASSERT(!isMoved(at(2760)));
        CPPUNIT_ASSERT(!isMoved(at(2700) + GrantTimings().holdTime_));
        CPPUNIT_ASSERT(isMoved(at(2700) + GrantTimings().holdTime_ + 1s));
    }

    void releaseWaitsForARenewalInProgress()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        const auto renewals = granter.takeGrants(at(2000));
        removeSecondServer(granter, servers, load, at(2010));
        CPPUNIT_ASSERT(granter.takeReleases(at(2010)).empty());
        for (const auto &call : renewals) {
            granter.recordGrantResult(call, at(2000), ShardCallOutcome::Accepted, at(2020));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), granter.takeReleases(at(2020)).size());
    }

    void successorRaisesAllTokensAndWaitsForEarlierGrants()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        const auto stored = makeGranterWithGrants(servers, load).assignment();
        ShardGranter successor(GrantTimings(), stored, at(5000));
        servers[1].isEligible_ = false;
        const auto next = successor.plan(servers, load, at(5000));
        CPPUNIT_ASSERT(next);
        for (const auto &range : next->ranges_) {
            CPPUNIT_ASSERT(range.holder_.token_ >= stored.nextToken_);
        }
        successor.recordStored(*next, at(5010));
        const auto grants = successor.takeGrants(at(5010));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), grants.size());
        CPPUNIT_ASSERT_EQUAL(ShardKey(0), grants.front().first_);
        for (const auto &release : successor.takeReleases(at(5010))) {
            successor.recordReleaseResult(release, ShardCallOutcome::Accepted, "", at(5020));
        }
        // The earlier granter may have sent a grant that is executed late.
        CPPUNIT_ASSERT(successor.takeGrants(at(5030)).empty());
    }

    void refusedGrantIsNotRepeated()
    {
        KeyLoad load;
        const auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        for (const auto &call : granter.takeGrants(at(2000))) {
            granter.recordGrantResult(call, at(2000), ShardCallOutcome::Refused, at(2005));
        }
        CPPUNIT_ASSERT(granter.isSuperseded());
        CPPUNIT_ASSERT(granter.takeGrants(at(9000)).empty());
    }

    void restartedServerGetsANewToken()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        const auto before = granter.assignment();
        servers[1].startTime_ = 999;
        const auto next = granter.plan(servers, load, at(1500));
        CPPUNIT_ASSERT(next);
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), next->ranges_[1].holder_.server_);
        CPPUNIT_ASSERT_EQUAL(UnixMilliseconds(999), next->ranges_[1].holder_.startTime_);
        CPPUNIT_ASSERT(next->ranges_[1].holder_.token_ >= before.nextToken_);
    }

    void timingsScaleWithTheMaximumHoldTime()
    {
        CPPUNIT_ASSERT(GrantTimings::within(10s) == GrantTimings());
        const auto timings = GrantTimings::within(1s);
        CPPUNIT_ASSERT(timings.holdTime_ == 1s);
        CPPUNIT_ASSERT(timings.renewInterval_ * 3 < timings.holdTime_);
    }

    void renewalsKeepKeysHeld()
    {
        KeyLoad load;
        const auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        for (int now = 1100; now < 20000; now += 100) {
            for (const auto &call : granter.takeGrants(at(now))) {
                granter.recordGrantResult(call, at(now), ShardCallOutcome::Accepted, at(now + 2));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), granter.assignment().ranges_.size());
            CPPUNIT_ASSERT(granter.pendingRanges(at(now + 3)).empty());
        }
    }

    void keysOfAServerThatIgnoresReleasesAreExpectedWhenItsGrantsExpire()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        servers[0].isEligible_ = false;
        const auto next = granter.plan(servers, load, at(1500));
        CPPUNIT_ASSERT(next);
        granter.recordStored(*next, at(1505));
        // A release is expected to be answered soon.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), granter.pendingRanges(at(1505)).size());
        CPPUNIT_ASSERT(granter.pendingRanges(at(1505)).front().availableAt_ <= at(1505) + 150ms);
        for (const auto &call : granter.takeReleases(at(1505))) {
            granter.recordReleaseResult(call, ShardCallOutcome::Unanswered, "", at(1600));
        }
        const auto pending = granter.pendingRanges(at(1600));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pending.size());
        // The last grant was answered at 1,005 ms, and its server may take 2% and 200 ms longer than the hold time.
        CPPUNIT_ASSERT(pending.front().availableAt_ > at(1600) + 2s);
        CPPUNIT_ASSERT(pending.front().availableAt_ <= at(1005) + 3200ms + 64ms + 200ms + 150ms);
        CPPUNIT_ASSERT_EQUAL(ShardKey(0), pending.front().first_);
    }

    void nothingIsHeldBeforeTheFirstAssignmentIsStored()
    {
        const ShardGranter granter(GrantTimings(), std::nullopt, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), granter.pendingRanges(at(0)).size());
        CPPUNIT_ASSERT(granter.pendingRanges(at(0)).front().contains(65535));
    }

    void fastServersGetMoreKeysInitially()
    {
        auto servers = makeServers(4);
        servers[1].slowness_ = 0.5;
        servers[2].slowness_ = 1.5;
        const auto assignment = planInitialAssignment(servers);
        CPPUNIT_ASSERT(assignment.isComplete());
        const auto size = [&assignment](std::size_t index) {
            return assignment.ranges_[index].last_ - assignment.ranges_[index].first_ + 1;
        };
        CPPUNIT_ASSERT(size(1) > 2 * size(0));
        CPPUNIT_ASSERT(size(2) < 0.7 * size(0));
    }

    void hotKeysAreSpread()
    {
        const auto servers = makeServers(6);
        auto assignment = planInitialAssignment(servers);
        KeyLoad load;
        // Half of the work is for 200 adjacent keys.
        for (int i = 0; i < 2000; ++i) {
            load.record(static_cast<ShardKey>(i % 2 == 0 ? 20000 + i / 2 % 200 : i * 32), 8ms, at(i));
        }
        const auto now = at(2000);
        const auto peakOf = [&](const ShardAssignment &each) {
            double peak = 0;
            for (const auto &server : servers) {
                peak = std::max(peak, utilization(each, server, load, now));
            }
            return peak;
        };
        const double before = peakOf(assignment);
        for (int round = 0; round < 6; ++round) {
            assignment = planBalance(assignment, servers, load, now);
            for (auto &range : assignment.ranges_) {
                range.previous_.clear();
            }
            CPPUNIT_ASSERT(assignment.isComplete());
        }
        double total = 0;
        for (const auto &server : servers) {
            total += utilization(assignment, server, load, now);
        }
        CPPUNIT_ASSERT(before > 2.5 * total / 6);
        CPPUNIT_ASSERT(peakOf(assignment) < 1.5 * total / 6);
    }

    // Guards against a planner that gives up because the busiest server, whose single hot key needs more than all its slots, cannot be
    // relieved: the other keys of that server and the load of the other servers must be balanced all the same.
    void singleHotKeyDoesNotStopTheBalance()
    {
        const auto servers = makeServers(8);
        auto assignment = planInitialAssignment(servers);
        constexpr ShardKey HotKey = 20000;
        KeyLoad load;
        KeyLoad loadWithoutHotKey;
        for (int i = 0; i < 2000; ++i) {
            load.record(HotKey, 10ms, at(i));
            // A quarter of the keys has three quarters of the other work.
            const auto key = static_cast<ShardKey>(i % 4 == 0 ? i * 32 : i * 8);
            load.record(key, 16ms, at(i));
            loadWithoutHotKey.record(key, 16ms, at(i));
        }
        const auto now = at(2000);
        for (int round = 0; round < 8; ++round) {
            assignment = planBalance(assignment, servers, load, now);
            for (auto &range : assignment.ranges_) {
                range.previous_.clear();
            }
        }
        const std::string &hotServer = assignment.rangeOf(HotKey)->holder_.server_;
        double total = 0;
        double highest = 0;
        for (const auto &server : servers) {
            const double own = utilization(assignment, server, loadWithoutHotKey, now);
            total += own;
            highest = std::max(highest, own);
            CPPUNIT_ASSERT(server.id_ != hotServer || own < 0.1);
        }
        CPPUNIT_ASSERT(highest < 1.4 * total / 7);
    }

    // Guards against slots of slow servers that stay idle while requests wait for the fast ones: under full load, all servers must be about
    // equally busy.
    void slowServersCarryTheirShareUnderFullLoad()
    {
        auto servers = makeServers(6);
        for (std::size_t index = 0; index < servers.size(); ++index) {
            servers[index].slowness_ = index < 4 ? 0.9 : 2.1;
        }
        auto assignment = planInitialAssignment(servers);
        KeyLoad load;
        for (int i = 0; i < 4000; ++i) {
            load.record(static_cast<ShardKey>(i * 16), 12ms, at(i));
        }
        const auto now = at(4000);
        for (int round = 0; round < 8; ++round) {
            assignment = planBalance(assignment, servers, load, now);
            for (auto &range : assignment.ranges_) {
                range.previous_.clear();
            }
        }
        double lowest = 1e9;
        double highest = 0;
        for (const auto &server : servers) {
            const double busy = server.slowness_ * utilization(assignment, server, load, now);
            lowest = std::min(lowest, busy);
            highest = std::max(highest, busy);
        }
        CPPUNIT_ASSERT(lowest > 0.7 * highest);
    }

    // Guards against a hot key without a holder after a change of granter: the store must not list the former holder for seconds after the
    // move, because the successor waits for that holder's grants to expire.
    void successorRenewsKeysThatHaveJustMoved()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        removeSecondServer(granter, servers, load, at(1200));
        const auto releases = granter.takeReleases(at(1200));
        granter.recordReleaseResult(releases.front(), ShardCallOutcome::Accepted, "", at(1250));
        for (const auto &call : granter.takeGrants(at(1250))) {
            granter.recordGrantResult(call, at(1250), ShardCallOutcome::Accepted, at(1255));
        }
        const auto cleaned = granter.plan(servers, load, at(1600));
        CPPUNIT_ASSERT(cleaned);
        granter.recordStored(*cleaned, at(1605));
        ShardGranter successor(GrantTimings(), granter.assignment(), at(1700));
        successor.recordStored(*successor.plan(servers, load, at(1700)), at(1705));
        CPPUNIT_ASSERT_EQUAL(successor.assignment().ranges_.size(), successor.takeGrants(at(1710)).size());
    }

    void evenLoadMovesNoKeys()
    {
        const auto servers = makeServers(4);
        const auto assignment = planInitialAssignment(servers);
        KeyLoad load;
        for (int i = 0; i < 2000; ++i) {
            load.record(static_cast<ShardKey>(i * 32), 2ms, at(i));
        }
        CPPUNIT_ASSERT(planBalance(assignment, servers, load, at(2000)) == assignment);
    }

    void newServerGetsKeys()
    {
        auto servers = makeServers(3);
        const auto assignment = planInitialAssignment(servers);
        servers = makeServers(4);
        const KeyLoad load;
        const auto next = planBalance(assignment, servers, load, at(0));
        CPPUNIT_ASSERT(std::ranges::any_of(next.ranges_, [](const ShardRange &range) {
            return range.holder_.server_ == "s3";
        }));
    }

    // Guards against a release after which the server accepts a grant to it that was held on its way.
    void releaseHasTheTokenOfTheNewRange()
    {
        KeyLoad load;
        auto servers = makeServers(3);
        auto granter = makeGranterWithGrants(servers, load);
        const auto former = granter.assignment().ranges_[1].holder_;
        removeSecondServer(granter, servers, load, at(1200));
        const auto releases = granter.takeReleases(at(1200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), releases.size());
        const auto present = granter.assignment().rangeOf(releases.front().first_)->holder_;
        CPPUNIT_ASSERT(releases.front().holder_ == former);
        CPPUNIT_ASSERT(releases.front().token_ == present.token_ && present.token_ > former.token_);
        // A repeated release has the same token, and that of keys that have moved on meanwhile the newest.
        granter.recordReleaseResult(releases.front(), ShardCallOutcome::Unanswered, "", at(1250));
        CPPUNIT_ASSERT(granter.takeReleases(at(1600)) == releases);
        const auto target = std::ranges::find(servers, present.server_, &ServerLoadView::id_);
        target->isEligible_ = false;
        granter.recordStored(*granter.plan(servers, load, at(1700)), at(1700));
        for (const auto &call : granter.takeReleases(at(1700))) {
            CPPUNIT_ASSERT(call.token_ == granter.assignment().rangeOf(call.first_)->holder_.token_ && call.token_ > call.holder_.token_);
        }
    }

    void serverThatGetsItsKeysBackIsNotAskedToReleaseThem()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        const auto former = granter.assignment().ranges_[1].holder_;
        removeSecondServer(granter, servers, load, at(1200));
        const auto release = granter.takeReleases(at(1200)).front();
        servers[1].isEligible_ = true;
        servers[0].isEligible_ = false;
        granter.recordStored(*granter.plan(servers, load, at(1300)), at(1300));
        const auto present = granter.assignment().rangeOf(release.first_)->holder_;
        CPPUNIT_ASSERT(present.server_ == former.server_ && present.token_ > release.token_);
        // The release may be answered late. Its token is below that of the keys' new grant, which is therefore not refused.
        granter.recordReleaseResult(release, ShardCallOutcome::Accepted, "", at(1310));
        for (const auto &call : granter.takeReleases(at(1320))) {
            CPPUNIT_ASSERT(call.holder_.server_ == "s0");
            CPPUNIT_ASSERT(call.token_ == granter.assignment().rangeOf(call.first_)->holder_.token_);
        }
    }

    // Guards against a granter that takes the refusal of its own outdated call for another granter.
    void refusalOfAnOutdatedRenewalEndsNoGrants()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        const auto renewals = granter.takeGrants(at(2000));
        removeSecondServer(granter, servers, load, at(2010));
        for (const auto &call : renewals) {
            const bool isOutdated = call.holder_.server_ == "s1";
            granter.recordGrantResult(call, at(2000), isOutdated ? ShardCallOutcome::Refused : ShardCallOutcome::Accepted, at(2020));
        }
        CPPUNIT_ASSERT(!granter.isSuperseded());
        granter.recordReleaseResult(granter.takeReleases(at(2020)).front(), ShardCallOutcome::Accepted, "", at(2030));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), granter.takeGrants(at(2040)).size());
    }

    // Guards against tokens that are given out twice, when the store lacks the last assignment and nobody remembers the highest token.
    void tokensOfALaterEraAreAboveAllOfEarlierOnes()
    {
        KeyLoad load;
        const auto servers = makeServers(2);
        ShardGranter first(GrantTimings(), std::nullopt, at(0));
        first.beginEra(3, at(0));
        first.plan(servers, load, at(0));
        const auto initial = first.plan(servers, load, at(1000));
        CPPUNIT_ASSERT_EQUAL(StoreEra(3), initial->era_);
        for (const auto &range : initial->ranges_) {
            CPPUNIT_ASSERT(range.holder_.token_ >= lowestToken(3));
            CPPUNIT_ASSERT(range.holder_.token_ < initial->nextToken_);
        }
        ShardGranter next(GrantTimings(), initial, at(2000));
        next.beginEra(4, at(2000));
        const auto renewed = next.plan(servers, load, at(2000));
        CPPUNIT_ASSERT(std::ranges::all_of(renewed->ranges_, [](const ShardRange &range) {
            return range.holder_.token_ >= lowestToken(4);
        }));
        CPPUNIT_ASSERT_EQUAL(StoreEra(4), renewed->era_);
    }

    // Guards against keys that lapse at the change of an era although their holder stays.
    void granterThatGoesOnInALaterEraKeepsItsHolders()
    {
        KeyLoad load;
        const auto servers = makeServers(3);
        auto granter = makeGranterWithGrants(servers, load);
        const auto before = granter.assignment();
        granter.beginEra(1, at(1500));
        granter.setEarlierErasStopAt(at(2500));
        // Until the assignment of the era is stored, the grants of the earlier one are renewed.
        const auto renewals = granter.takeGrants(at(1900));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), renewals.size());
        CPPUNIT_ASSERT(std::ranges::all_of(renewals, [](const GrantCall &call) {
            return call.holder_.token_ < lowestToken(1);
        }));
        const auto next = granter.plan(servers, load, at(1900));
        granter.recordStored(*next, at(1950));
        CPPUNIT_ASSERT(granter.pendingRanges(at(1960)).empty());
        const auto grants = granter.takeGrants(at(1960));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), grants.size());
        for (const auto &call : grants) {
            CPPUNIT_ASSERT_EQUAL(before.rangeOf(call.first_)->holder_.server_, call.holder_.server_);
            CPPUNIT_ASSERT(granter.recordGrantResult(call, at(1960), ShardCallOutcome::Accepted, at(1965)).isFirst_);
        }
        // The renewals that were in progress end, and change nothing.
        for (const auto &call : renewals) {
            granter.recordGrantResult(call, at(1900), ShardCallOutcome::Refused, at(1970));
        }
        CPPUNIT_ASSERT(!granter.isSuperseded());
        CPPUNIT_ASSERT(granter.pendingRanges(at(1980)).empty());
    }

    // Guards against keys that are moved while a granter whose claim was lost may still renew them.
    void movesWaitForGrantersOfEarlierEras()
    {
        KeyLoad load;
        auto servers = makeServers(2);
        auto granter = makeGranterWithGrants(servers, load);
        granter.beginEra(1, at(1500));
        granter.setEarlierErasStopAt(at(9000));
        granter.recordStored(*granter.plan(servers, load, at(1500)), at(1500));
        for (const auto &call : granter.takeGrants(at(1500))) {
            granter.recordGrantResult(call, at(1500), ShardCallOutcome::Accepted, at(1505));
        }
        removeSecondServer(granter, servers, load, at(1600));
        for (const auto &call : granter.takeReleases(at(1600))) {
            granter.recordReleaseResult(call, ShardCallOutcome::Accepted, "", at(1650));
        }
        const auto isMoved = [&granter](TimePoint now) {
            const auto grants = granter.takeGrants(now);
            return std::ranges::any_of(grants, [](const GrantCall &call) {
                return call.first_ > 0;
            });
        };
        CPPUNIT_ASSERT(!isMoved(at(1700)));
        // More instances have been seen in the era.
        granter.setEarlierErasStopAt(at(2500));
        const auto expireAt = at(2500) + GrantTimings().longestLifetime();
        CPPUNIT_ASSERT(!isMoved(expireAt - 1ms));
        CPPUNIT_ASSERT(isMoved(expireAt));
    }

    // Guards against a presumed holder that gets its keys while a server that the older copy does not name still holds them.
    void keysOfUnknownHoldersWaitForAllEarlierGrants()
    {
        KeyLoad load;
        const auto servers = makeServers(2);
        const auto stored = makeGranterWithGrants(servers, load).assignment();
        for (const auto &known : {std::make_optional(stored), std::optional<ShardAssignment>()}) {
            ShardGranter granter(GrantTimings(), known, at(5000));
            granter.beginEra(1, at(5000));
            granter.forgetHolders(at(14000));
            granter.plan(servers, load, at(5000));
            granter.recordStored(*granter.plan(servers, load, at(6000)), at(6000));
            granter.setEarlierErasStopAt(at(6500));
            const auto expireAt = at(6500) + GrantTimings().longestLifetime();
            CPPUNIT_ASSERT(granter.holdersUnknownUntil() == expireAt);
            CPPUNIT_ASSERT(granter.takeGrants(expireAt - 1ms).empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), granter.pendingRanges(at(6100)).size());
            CPPUNIT_ASSERT(granter.pendingRanges(at(6100)).front().availableAt_ >= expireAt);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), granter.takeGrants(expireAt).size());
        }
    }

    // Guards against a successor within the era that takes what its predecessor presumed for known.
    void assignmentTellsSuccessorsThatHoldersAreUnknown()
    {
        KeyLoad load;
        const auto servers = makeServers(2);
        ShardGranter granter(GrantTimings(), std::nullopt, at(0));
        granter.beginEra(1, at(0));
        granter.forgetHolders(at(2000));
        granter.plan(servers, load, at(0));
        const auto expireAt = at(2000) + GrantTimings().longestLifetime();
        const auto early = granter.plan(servers, load, at(1000));
        CPPUNIT_ASSERT(early->granter_.holdersUnknownWithin_ == expireAt - at(1000));
        CPPUNIT_ASSERT(early->granter_.earlierGrantersStopWithin_ == 1s);
        const auto late = granter.plan(servers, load, expireAt);
        CPPUNIT_ASSERT(late->granter_.holdersUnknownWithin_ == Duration::zero());
    }
    void randomLivesNeverHaveTwoHolders();
    void grantsThatArriveSecondsLateNeverMakeTwoHolders();

private:
    // Why an unanswered grant has its effect late.
    enum class Lateness {
        // The server executes it late, without looking at fencing tokens. Its time counts from its arrival, which was in time.
        Execution,
        // It is held on its way. The server refuses it if it has seen a higher fencing token by then.
        Arrival,
    };

    static void checkRandomLives(Lateness lateness);
};

namespace {

// Between the keys that are checked.
constexpr std::uint32_t KeyStep = 1021;

// Simulated backend server: it applies grants, some of them late, and loses them on a restart.
struct SimulatedServer
{
    struct Hold
    {
        ShardKey first_ = 0;
        ShardKey last_ = 0;
        FencingToken token_ = 0;
        TimePoint until_;
    };

    std::vector<Hold> holds_;
    // The highest fencing token that it has seen on some of the keys.
    std::map<ShardKey, FencingToken> seenTokens_;
    bool isUp_ = true;

    bool holds(ShardKey key, TimePoint now) const
    {
        return isUp_ && std::ranges::any_of(holds_, [&](const Hold &hold) {
                   return hold.first_ <= key && key <= hold.last_ && now < hold.until_;
               });
    }

    void recordToken(ShardKey first, ShardKey last, FencingToken token)
    {
        for (std::uint32_t key = 0; key < ShardKeyCount; key += KeyStep) {
            if (first <= key && key <= last) {
                auto &seen = seenTokens_[static_cast<ShardKey>(key)];
                seen = std::max(seen, token);
            }
        }
    }

    bool hasSeenHigher(ShardKey first, ShardKey last, FencingToken token) const
    {
        return std::ranges::any_of(seenTokens_, [&](const auto &seen) {
            return first <= seen.first && seen.first <= last && seen.second > token;
        });
    }

    void release(ShardKey first, ShardKey last, FencingToken token)
    {
        recordToken(first, last, token);
        std::vector<Hold> kept;
        for (const auto &hold : holds_) {
            if (hold.last_ < first || hold.first_ > last) {
                kept.push_back(hold);
                continue;
            }
            if (hold.first_ < first) {
                kept.push_back({hold.first_, static_cast<ShardKey>(first - 1), hold.token_, hold.until_});
            }
            if (hold.last_ > last) {
                kept.push_back({static_cast<ShardKey>(last + 1), hold.last_, hold.token_, hold.until_});
            }
        }
        holds_ = std::move(kept);
    }
};

// A grant that the server executes some time after its arrival.
struct DelayedGrant
{
    TimePoint appliedAt_;
    TimePoint arrivedAt_;
    GrantCall call_;
};

} // namespace

// Guards against two servers holding one key at the same time. Servers join, leave and restart, calls are lost, unanswered or executed
// late, and granters succeed each other, at random.
void TestShards::randomLivesNeverHaveTwoHolders()
{
    checkRandomLives(Lateness::Execution);
}

// Guards against a grant that brings keys back after its release, because it was held on its way.
void TestShards::grantsThatArriveSecondsLateNeverMakeTwoHolders()
{
    checkRandomLives(Lateness::Arrival);
}

void TestShards::checkRandomLives(Lateness lateness)
{
    const GrantTimings timings;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        const auto chance = [&random](int percent) {
            return static_cast<int>(random() % 100) < percent;
        };
        constexpr int ServerCount = 4;
        auto servers = makeServers(ServerCount);
        std::vector<SimulatedServer> simulated(ServerCount);
        std::vector<DelayedGrant> delayed;
        KeyLoad load;
        std::optional<ShardAssignment> stored;
        std::optional<ShardGranter> granter(std::in_place, timings, stored, at(0));
        const auto indexOf = [](const ShardHolder &holder) {
            return static_cast<std::size_t>(std::stoi(holder.server_.substr(1)));
        };
        const auto apply = [&](const GrantCall &call, TimePoint arrivedAt) {
            const auto index = indexOf(call.holder_);
            const bool isRefused = lateness == Lateness::Arrival && simulated[index].hasSeenHigher(call.first_, call.last_, call.holder_.token_);
            if (servers[index].startTime_ == call.holder_.startTime_ && !isRefused) {
                simulated[index].recordToken(call.first_, call.last_, call.holder_.token_);
                // The server's clock is 2% slow.
                simulated[index].holds_.push_back({call.first_, call.last_, call.holder_.token_, arrivedAt + call.holdTime_ + call.holdTime_ / 50});
            }
        };
        for (int now = 0; now < 60000; now += 50) {
            if (now > 2000 && now % 3000 == 0) {
                auto &server = servers[random() % ServerCount];
                const auto index = static_cast<std::size_t>(&server - servers.data());
                server.isEligible_ = !server.isEligible_;
                if (chance(30)) {
                    server.startTime_ += 1000;
                    simulated[index].holds_.clear();
                    simulated[index].seenTokens_.clear();
                }
            }
            if (now > 0 && now % 7000 == 0) {
                granter.emplace(timings, stored, at(now));
            }
            if (auto next = granter->plan(servers, load, at(now)); next && chance(90)) {
                stored = next;
                granter->recordStored(*next, at(now));
            }
            std::erase_if(delayed, [&](const DelayedGrant &each) {
                if (each.appliedAt_ <= at(now)) {
                    apply(each.call_, each.arrivedAt_);
                }
                return each.appliedAt_ <= at(now);
            });
            for (const auto &call : granter->takeReleases(at(now))) {
                const auto index = indexOf(call.holder_);
                const bool isReached = chance(80);
                if (isReached && servers[index].startTime_ == call.holder_.startTime_) {
                    simulated[index].release(call.first_, call.last_, call.token_);
                }
                granter->recordReleaseResult(call, isReached ? ShardCallOutcome::Accepted : ShardCallOutcome::NotSent, "", at(now));
            }
            for (const auto &call : granter->takeGrants(at(now))) {
                if (chance(10)) {
                    granter->recordGrantResult(call, at(now), ShardCallOutcome::NotSent, at(now));
                } else if (chance(20)) {
                    const TimePoint appliedAt = at(now + 2000 + static_cast<int>(random() % 10000));
                    delayed.push_back({appliedAt, lateness == Lateness::Arrival ? appliedAt : at(now), call});
                    granter->recordGrantResult(call, at(now), ShardCallOutcome::Unanswered, at(now));
                } else {
                    apply(call, at(now));
                    granter->recordGrantResult(call, at(now), ShardCallOutcome::Accepted, at(now));
                }
            }
            for (std::uint32_t key = 0; key < ShardKeyCount; key += KeyStep) {
                const auto holders = std::ranges::count_if(simulated, [&](const SimulatedServer &server) {
                    return server.holds(static_cast<ShardKey>(key), at(now));
                });
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " at " + std::to_string(now) + " ms", holders <= 1);
            }
        }
    }
}

CPPUNIT_TEST_SUITE_REGISTRATION(TestShards);
