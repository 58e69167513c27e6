// Tests the client of the platform's store against the stand-in, including its faults.
#include <StandIns/PlatformStoreStandIn.h>
#include <platform/Platform.h>

#include <Tests/Platform/AwaitTask.h>
#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Platform;

namespace {

constexpr std::uint64_t Capacity = 4'000'000;

StoreWrite makeWrite(const std::string &key, const std::string &value, std::uint64_t expected, StoreLeaseId lease = {})
{
    StoreWrite write;
    write.conditions_.push_back({key, atRevision(expected)});
    write.puts_.push_back({key, value, {}, lease});
    return write;
}

} // namespace

class TestPlatformStore : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlatformStore);
    CPPUNIT_TEST(conditionalWritesDetectConflicts);
    CPPUNIT_TEST(rangesComeInPages);
    CPPUNIT_TEST(watchReportsChangesAndRemovals);
    CPPUNIT_TEST(compactedHistoryIsReported);
    CPPUNIT_TEST(leasesEndWithTheirKeys);
    CPPUNIT_TEST(faultsMapToOutcomes);
    CPPUNIT_TEST(responseThatViolatesTheProtocolIsNotWaitedFor);
    CPPUNIT_TEST(unreadableItemDoesNotHideItsNeighbours);
    CPPUNIT_TEST(responsesStayWithinTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    void conditionalWritesDetectConflicts()
    {
        const std::string binary("\x00\xff value \"quoted\"", 17);
        const auto first = await(loop_, store_.commit(makeWrite("a", binary, 0)));
        CPPUNIT_ASSERT(first.outcome_ == StoreOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(binary, standIn_.get("a"));
        CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("a", "2", 0))).outcome_ == StoreOutcome::Conflict);
        CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("a", "2", first.version_.revision_))).outcome_ == StoreOutcome::Done);
        CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("b", "2", 0, {0, 4711}))).outcome_ == StoreOutcome::LeaseEnded);
        CPPUNIT_ASSERT_EQUAL(std::string(), standIn_.get("b"));
    }

    void rangesComeInPages()
    {
        for (int i = 0; i < 620; ++i) {
            standIn_.put("servers/" + std::to_string(1000 + i), "x");
        }
        const auto first = await(loop_, store_.readRange("servers/", ""));
        CPPUNIT_ASSERT(first.outcome_ == StoreOutcome::Done);
        CPPUNIT_ASSERT(first.hasMore_);
        CPPUNIT_ASSERT_EQUAL(atRevision(standIn_.revision()), first.at_);
        const auto second = await(loop_, store_.readRange("servers/", first.items_.back().key_));
        CPPUNIT_ASSERT(!second.hasMore_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(620), first.items_.size() + second.items_.size());
    }

    void watchReportsChangesAndRemovals()
    {
        const auto before = standIn_.revision();
        standIn_.put("op/config", "1");
        standIn_.remove("op/config");
        const auto changes = await(loop_, store_.watch("", atRevision(before), 1s, nullptr));
        CPPUNIT_ASSERT(changes.outcome_ == StoreOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes.events_.size());
        CPPUNIT_ASSERT(!changes.events_[0].isRemoved_);
        CPPUNIT_ASSERT(changes.events_[1].isRemoved_);
        const auto none = await(loop_, store_.watch("", changes.at_, 50ms, nullptr));
        CPPUNIT_ASSERT(none.outcome_ == StoreOutcome::Done && none.events_.empty());
    }

    void compactedHistoryIsReported()
    {
        const auto before = standIn_.revision();
        standIn_.put("op/config", "1");
        standIn_.discardHistory();
        CPPUNIT_ASSERT(await(loop_, store_.watch("", atRevision(before), 1s, nullptr)).outcome_ == StoreOutcome::HistoryCompacted);
    }

    void leasesEndWithTheirKeys()
    {
        const auto lease = await(loop_, store_.grantLease(1s));
        CPPUNIT_ASSERT(lease.outcome_ == StoreOutcome::Done);
        CPPUNIT_ASSERT(lease.lifetime_ == 1s);
        CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("mine", "1", 0, lease.id_))).outcome_ == StoreOutcome::Done);
        CPPUNIT_ASSERT(await(loop_, store_.renewLease(lease.id_)).outcome_ == StoreOutcome::Done);
        CPPUNIT_ASSERT(await(loop_, store_.revokeLease(lease.id_)) == StoreOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::string(), standIn_.get("mine"));
        CPPUNIT_ASSERT(await(loop_, store_.renewLease(lease.id_)).outcome_ == StoreOutcome::LeaseEnded);
    }

    void faultsMapToOutcomes()
    {
        const std::vector<std::pair<PlatformStoreFault, StoreOutcome>> cases{
            {PlatformStoreFault::Down, StoreOutcome::Unknown},
            {PlatformStoreFault::Busy, StoreOutcome::Refused},
            {PlatformStoreFault::Limited, StoreOutcome::Refused},
            {PlatformStoreFault::Fails, StoreOutcome::Unknown},
            {PlatformStoreFault::LosesAnswers, StoreOutcome::Unknown},
            {PlatformStoreFault::SendsMalformedBytes, StoreOutcome::Unknown},
            {PlatformStoreFault::Unresponsive, StoreOutcome::Unknown},
        };
        for (const auto &[fault, outcome] : cases) {
            standIn_.setFault(fault);
            const auto label = std::to_string(static_cast<int>(fault));
            CPPUNIT_ASSERT_MESSAGE(label, await(loop_, store_.commit(makeWrite("k" + label, "1", 0))).outcome_ == outcome);
        }
        // A write whose response was lost has still been applied.
        CPPUNIT_ASSERT_EQUAL(std::string("1"), standIn_.get("k" + std::to_string(static_cast<int>(PlatformStoreFault::LosesAnswers))));
        standIn_.setFault(PlatformStoreFault::None);
        PlatformStore unreachableStore(loop_, "127.0.0.1:1", memory_);
        CPPUNIT_ASSERT(await(loop_, unreachableStore.readRange("", "")).outcome_ == StoreOutcome::Unreachable);
    }

    // Guards against a call that waits for another response until its time limit, and against a write that is taken to be done or not done.
    void responseThatViolatesTheProtocolIsNotWaitedFor()
    {
        // Less than half of the time limit of a call.
        constexpr Duration MaxWait = 500ms;
        const auto lease = await(loop_, store_.grantLease(10s));
        CPPUNIT_ASSERT(lease.outcome_ == StoreOutcome::Done);
        for (const auto fault : {PlatformStoreFault::SendsInvalidStatus,
                                 PlatformStoreFault::SwitchesProtocols,
                                 PlatformStoreFault::SendsOddFieldName,
                                 PlatformStoreFault::SendsUnknownCoding,
                                 PlatformStoreFault::HidesLength}) {
            const auto label = std::to_string(static_cast<int>(fault));
            standIn_.setFault(fault);
            const auto expectUnknown = [&](const std::string &call, const auto &send) {
                const TimePoint startedAt = monotonicNow();
                const StoreOutcome outcome = send();
                const Duration waited = monotonicNow() - startedAt;
                const std::string message = std::string(call).append(" with fault ").append(label).append(" after us ").append(std::to_string(waited.count()));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string("unknown"), std::string(storeOutcomeName(outcome)));
                CPPUNIT_ASSERT_MESSAGE(message, waited < MaxWait);
            };
            expectUnknown("write", [&] {
                return await(loop_, store_.commit(makeWrite("k" + label, "1", 0))).outcome_;
            });
            CPPUNIT_ASSERT_EQUAL(std::string("1"), standIn_.get("k" + label));
            expectUnknown("range", [&] {
                return await(loop_, store_.readRange("", "")).outcome_;
            });
            expectUnknown("watch", [&] {
                return await(loop_, store_.watch("", {}, 5s, nullptr)).outcome_;
            });
            expectUnknown("renewal", [&] {
                return await(loop_, store_.renewLease(lease.id_)).outcome_;
            });
            expectUnknown("lease", [&] {
                return await(loop_, store_.grantLease(10s)).outcome_;
            });
            standIn_.setFault(PlatformStoreFault::None);
            // No later call gets what was left on a connection.
            CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("k" + label, "2", 0))).outcome_ == StoreOutcome::Conflict);
        }
    }

    // Guards against a watch that asks again from the same revision for ever because of one item.
    void unreadableItemDoesNotHideItsNeighbours()
    {
        const auto before = standIn_.revision();
        standIn_.put("servers/a", "1");
        standIn_.setFault(PlatformStoreFault::AddsUnreadableItem);
        const auto page = await(loop_, store_.readRange("servers/", ""));
        CPPUNIT_ASSERT(page.outcome_ == StoreOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), page.items_.size());
        CPPUNIT_ASSERT_EQUAL(std::string("servers/a"), page.items_.front().key_);
        const auto changes = await(loop_, store_.watch("", atRevision(before), 1s, nullptr));
        CPPUNIT_ASSERT(changes.outcome_ == StoreOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.events_.size());
        CPPUNIT_ASSERT_EQUAL(atRevision(standIn_.revision()), changes.at_);
    }

    // Guards against the store's responses as the one holder of memory that nobody counts.
    void responsesStayWithinTheMemory()
    {
        const auto before = standIn_.revision();
        const std::string value(200'000, 'x');
        standIn_.put("servers/a", value);
        {
            const auto page = await(loop_, store_.readRange("servers/", ""));
            CPPUNIT_ASSERT(page.outcome_ == StoreOutcome::Done);
            // The items remain counted; while they were read, the text and its document were, too.
            CPPUNIT_ASSERT(memory_.reserved() >= value.size());
            CPPUNIT_ASSERT(memory_.reserved() < value.size() * 4 / 3);
            CPPUNIT_ASSERT(memory_.peak() >= value.size() * 4);
            const auto changes = await(loop_, store_.watch("", atRevision(before), 1s, nullptr));
            CPPUNIT_ASSERT(changes.outcome_ == StoreOutcome::Done);
            CPPUNIT_ASSERT(memory_.reserved() >= 2 * value.size());
            Gateway::MemoryReservation others(memory_, Gateway::MemoryHolder::StoreResponses);
            CPPUNIT_ASSERT(others.tryReserve(Capacity - memory_.reserved() - value.size()));
            CPPUNIT_ASSERT(await(loop_, store_.readRange("servers/", "")).outcome_ == StoreOutcome::NoRoom);
            CPPUNIT_ASSERT(await(loop_, store_.watch("", atRevision(before), 1s, nullptr)).outcome_ == StoreOutcome::NoRoom);
            // A write is answered in few bytes.
            CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("b", "1", 0))).outcome_ == StoreOutcome::Done);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), memory_.reserved());
        CPPUNIT_ASSERT(await(loop_, store_.readRange("servers/", "")).outcome_ == StoreOutcome::Done);
    }

private:
    boost::asio::io_context loop_;
    PlatformStoreStandIn standIn_{0};
    Gateway::MemoryAccount memory_{Capacity};
    PlatformStore store_{loop_, standIn_.address(), memory_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlatformStore);
