// Tests the client of the platform's store when the store comes back from an older copy and gives out its numbers again.
#include <StandIns/PlatformStoreStandIn.h>
#include <StandIns/ScriptedResponder.h>
#include <platform/Platform.h>

#include <Tests/Platform/AwaitTask.h>
#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Platform;

namespace {

constexpr std::uint64_t Capacity = 4'000'000;

// A response with the header fields given, each of which ends its line.
std::string makeResponse(const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A page without items, at that revision.
std::string makePosition(const std::string &fields, int revision)
{
    return makeResponse(fields, R"({"items":[],"hasMore":false,"at":)" + std::to_string(revision) + "}");
}

StoreWrite makeWrite(const std::string &key, StoreVersion expected, StoreLeaseId lease = {})
{
    StoreWrite write;
    write.conditions_.push_back({key, expected});
    write.puts_.push_back({key, "mine", {}, lease});
    return write;
}

} // namespace

class TestStoreEras : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreEras);
    CPPUNIT_TEST(everyVersionAndLeaseHasTheEra);
    CPPUNIT_TEST(responseWithoutAnEraIsOfTheLowest);
    CPPUNIT_TEST(responseWithADamagedEraHasFailed);
    CPPUNIT_TEST(responsesOfAllKindsStateTheEra);
    CPPUNIT_TEST(lateResponseOfAnEarlierEraIsDropped);
    CPPUNIT_TEST(leaseNumberThatIsGivenOutAgainIsAnotherLease);
    CPPUNIT_TEST(leaseOfAnEarlierEraIsNotAskedFor);
    CPPUNIT_TEST(writeMeantForAnEarlierEraIsNotSent);
    CPPUNIT_TEST(writeThatMeetsItsConditionInALaterEraIsNotDone);
    CPPUNIT_TEST(watchThatIsAnsweredInALaterEraHasLostItsHistory);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        store_.setEraHandler([this](StoreEra before, StoreEra now) {
            changes_.emplace_back(before, now);
        });
    }

    void everyVersionAndLeaseHasTheEra()
    {
        standIn_.setEra(3);
        const auto revision = standIn_.put("op/config", "1");
        const auto page = await(loop_, store_.readRange("op/", ""));
        CPPUNIT_ASSERT_EQUAL(StoreVersion(3, revision), page.at_);
        CPPUNIT_ASSERT_EQUAL(StoreVersion(3, revision), page.items_.front().version_);
        const auto lease = await(loop_, store_.grantLease(1s));
        CPPUNIT_ASSERT_EQUAL(StoreEra(3), lease.id_.era_);
        const auto commit = await(loop_, store_.commit(makeWrite("k", {3, 0}, lease.id_)));
        CPPUNIT_ASSERT_EQUAL(StoreVersion(3, standIn_.revision()), commit.version_);
        CPPUNIT_ASSERT(await(loop_, store_.readRange("k", "")).items_.front().lease_ == lease.id_);
        CPPUNIT_ASSERT(changes_ == std::vector<EraChange>({{0, 3}}));
    }

    void responseWithoutAnEraIsOfTheLowest()
    {
        ScriptedResponder responder({makePosition("", 7), makePosition("Store-Era: 4\r\n", 8), makePosition("", 900), makePosition("Store-Era: 5 \r\n", 6)});
        store_.setAddress(responder.address());
        CPPUNIT_ASSERT_EQUAL(StoreVersion(0, 7), await(loop_, store_.readPosition()).at_);
        CPPUNIT_ASSERT_EQUAL(StoreVersion(4, 8), await(loop_, store_.readPosition()).at_);
        // Nothing else tells which era it is of.
        CPPUNIT_ASSERT(await(loop_, store_.readPosition()).outcome_ == StoreOutcome::OtherEra);
        CPPUNIT_ASSERT_EQUAL(StoreVersion(5, 6), await(loop_, store_.readPosition()).at_);
        CPPUNIT_ASSERT(changes_ == std::vector<EraChange>({{0, 4}, {4, 5}}));
    }

    // Guards against a damaged era that is taken for an earlier one, for the present one or for one that lasts for good.
    void responseWithADamagedEraHasFailed()
    {
        const std::vector<std::string> eras{"four", "", "-5", "+5", "5.0", "5, 5", "0x5", "2097152", "99999999999999999999"};
        std::vector<std::string> responses{makePosition("Store-Era: 4\r\n", 7)};
        for (const auto &era : eras) {
            responses.push_back(makePosition("Store-Era: " + era + "\r\n", 900));
        }
        responses.push_back(makePosition("Store-Era: 4\r\nStore-Era: 5\r\n", 900));
        responses.push_back(makePosition("Store-Era: 4\r\n", 8));
        ScriptedResponder responder(std::move(responses));
        store_.setAddress(responder.address());
        CPPUNIT_ASSERT(await(loop_, store_.readPosition()).outcome_ == StoreOutcome::Done);
        for (std::size_t i = 0; i <= eras.size(); ++i) {
            const auto position = await(loop_, store_.readPosition());
            CPPUNIT_ASSERT_MESSAGE(i < eras.size() ? eras[i] : "twice", position.outcome_ == StoreOutcome::Unknown);
            CPPUNIT_ASSERT(!position.at_.exists());
        }
        CPPUNIT_ASSERT_EQUAL(StoreVersion(4, 8), await(loop_, store_.readPosition()).at_);
        CPPUNIT_ASSERT_EQUAL(StoreEra(4), store_.era());
    }

    // Guards against an era that is known only once a call succeeds: a store that has come back may refuse all that was known before.
    void responsesOfAllKindsStateTheEra()
    {
        StoreEra era = 1;
        for (const char *status : {"200 OK", "404 Not Found", "410 Gone", "412 Precondition Failed", "429 Too Many Requests", "503 Service Unavailable"}) {
            ScriptedResponder responder({"HTTP/1.1 " + std::string(status) + "\r\nStore-Era: " + std::to_string(era) + "\r\nContent-Length: 2\r\n\r\n{}"});
            store_.setAddress(responder.address());
            await(loop_, store_.readPosition());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status, era, store_.era());
            ++era;
        }
    }

    void lateResponseOfAnEarlierEraIsDropped()
    {
        const std::string late = "Store-Era: 3\r\n";
        ScriptedResponder responder({makePosition("Store-Era: 4\r\n", 7),
                                     makePosition(late, 900),
                                     makeResponse(late, R"({"revision":901})"),
                                     makeResponse(late, R"({"ttlS_time":1.5})"),
                                     makeResponse(late, R"({"events":[],"at":902})")});
        store_.setAddress(responder.address());
        CPPUNIT_ASSERT(await(loop_, store_.readPosition()).outcome_ == StoreOutcome::Done);
        CPPUNIT_ASSERT(await(loop_, store_.readRange("", "")).outcome_ == StoreOutcome::OtherEra);
        CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("k", {4, 5}))).outcome_ == StoreOutcome::OtherEra);
        CPPUNIT_ASSERT(await(loop_, store_.renewLease({4, 101})).outcome_ == StoreOutcome::LeaseEnded);
        CPPUNIT_ASSERT(await(loop_, store_.watch("", {4, 7}, 1s, nullptr)).outcome_ == StoreOutcome::HistoryCompacted);
        CPPUNIT_ASSERT_EQUAL(StoreEra(4), store_.era());
    }

    void leaseNumberThatIsGivenOutAgainIsAnotherLease()
    {
        standIn_.setEra(1);
        standIn_.takeCopy();
        const auto mine = await(loop_, store_.grantLease(1s)).id_;
        standIn_.restoreCopy();
        PlatformStore other(loop_, standIn_.address(), memory_);
        const auto theirs = await(loop_, other.grantLease(1s)).id_;
        CPPUNIT_ASSERT_EQUAL(mine.number_, theirs.number_);
        CPPUNIT_ASSERT(mine != theirs);
        CPPUNIT_ASSERT(await(loop_, store_.renewLease(mine)).outcome_ == StoreOutcome::LeaseEnded);
        CPPUNIT_ASSERT(await(loop_, other.renewLease(theirs)).outcome_ == StoreOutcome::Done);
    }

    void leaseOfAnEarlierEraIsNotAskedFor()
    {
        standIn_.setEra(1);
        const auto lease = await(loop_, store_.grantLease(1s)).id_;
        standIn_.takeCopy();
        standIn_.restoreCopy();
        CPPUNIT_ASSERT(await(loop_, store_.readPosition()).outcome_ == StoreOutcome::Done);
        const auto calls = standIn_.callCount();
        // The copy has the lease.
        CPPUNIT_ASSERT(await(loop_, store_.renewLease(lease)).outcome_ == StoreOutcome::LeaseEnded);
        CPPUNIT_ASSERT(await(loop_, store_.revokeLease(lease)) == StoreOutcome::NotFound);
        CPPUNIT_ASSERT_EQUAL(calls, standIn_.callCount());
    }

    void writeMeantForAnEarlierEraIsNotSent()
    {
        standIn_.setEra(1);
        const auto lease = await(loop_, store_.grantLease(1s)).id_;
        const auto before = await(loop_, store_.commit(makeWrite("k", {1, 0}, lease))).version_;
        standIn_.takeCopy();
        standIn_.restoreCopy();
        CPPUNIT_ASSERT(await(loop_, store_.readPosition()).outcome_ == StoreOutcome::Done);
        const auto calls = standIn_.callCount();
        // All of it would be accepted: the copy has the item at that revision, and the lease.
        CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("k", before))).outcome_ == StoreOutcome::OtherEra);
        CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("k", {2, before.revision_}, lease))).outcome_ == StoreOutcome::OtherEra);
        CPPUNIT_ASSERT_EQUAL(calls, standIn_.callCount());
        CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("k", {2, before.revision_}))).outcome_ == StoreOutcome::Done);
    }

    void writeThatMeetsItsConditionInALaterEraIsNotDone()
    {
        standIn_.setEra(1);
        const auto revision = standIn_.put("other", "x");
        CPPUNIT_ASSERT(await(loop_, store_.readPosition()).outcome_ == StoreOutcome::Done);
        standIn_.takeCopy();
        standIn_.restoreCopy();
        CPPUNIT_ASSERT(await(loop_, store_.commit(makeWrite("other", {1, revision}))).outcome_ == StoreOutcome::OtherEra);
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), standIn_.get("other"));
        CPPUNIT_ASSERT_EQUAL(StoreEra(2), store_.era());
    }

    void watchThatIsAnsweredInALaterEraHasLostItsHistory()
    {
        standIn_.setEra(1);
        const auto known = await(loop_, store_.readPosition()).at_;
        standIn_.takeCopy();
        standIn_.restoreCopy();
        standIn_.put("op/config", "1");
        const auto changes = await(loop_, store_.watch("", known, 1s, nullptr));
        CPPUNIT_ASSERT(changes.outcome_ == StoreOutcome::HistoryCompacted);
        CPPUNIT_ASSERT(changes.events_.empty());
        // It is not sent if the era is known.
        const auto calls = standIn_.callCount();
        CPPUNIT_ASSERT(await(loop_, store_.watch("", known, 1s, nullptr)).outcome_ == StoreOutcome::HistoryCompacted);
        CPPUNIT_ASSERT_EQUAL(calls, standIn_.callCount());
    }

private:
    using EraChange = std::pair<StoreEra, StoreEra>;

    boost::asio::io_context loop_;
    Gateway::MemoryAccount memory_{Capacity};
    PlatformStoreStandIn standIn_{0};
    PlatformStore store_{loop_, standIn_.address(), memory_};
    std::vector<EraChange> changes_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreEras);
