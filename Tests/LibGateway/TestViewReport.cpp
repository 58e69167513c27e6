// Tests of the log lines about what the view reads from the store.
#include <LibGateway/LibGateway.h>

#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;
using Platform::StoreItem;

namespace {

TimePoint at(Duration duration)
{
    return TimePoint(std::chrono::hours(1)) + duration;
}

StoreItem makeItem(const std::string &key, StoreVersion version)
{
    return {key, "{}", version, {}};
}

StoreView makeView()
{
    return StoreView([](const std::string &, const std::string &) {});
}

} // namespace

class TestViewReport : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewReport);
    CPPUNIT_TEST(problemOfAnEntryIsLoggedOnce);
    CPPUNIT_TEST(entryProblemsTakeBoundedMemory);
    CPPUNIT_TEST(readOfAHigherEraTellsWhatWasLost);
    CPPUNIT_TEST(readsWithinAnEraTellOfNoChange);
    CPPUNIT_TEST(lineOfAnEraTellsWhatWasLost);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entry of another writer that fills the log with every heartbeat.
    void problemOfAnEntryIsLoggedOnce()
    {
        EntryProblemLog log;
        CPPUNIT_ASSERT(log.isDue("servers/i-1", "field 'zone' is missing", at(0s)));
        CPPUNIT_ASSERT(!log.isDue("servers/i-1", "field 'zone' is missing", at(59s)));
        CPPUNIT_ASSERT(log.isDue("servers/i-2", "field 'zone' is missing", at(59s)));
        CPPUNIT_ASSERT(log.isDue("servers/i-1", "field 'state' is missing", at(59s)));
        CPPUNIT_ASSERT(!log.isDue("servers/i-1", "field 'state' is missing", at(118s)));
        CPPUNIT_ASSERT(log.isDue("servers/i-1", "field 'state' is missing", at(119s)));
    }

    void entryProblemsTakeBoundedMemory()
    {
        EntryProblemLog log;
        CPPUNIT_ASSERT(log.isDue("servers/first", "reason", at(0s)));
        for (int i = 0; i < 1000; ++i) {
            CPPUNIT_ASSERT(log.isDue("servers/i-" + std::to_string(i), "reason", at(1s)));
        }
        CPPUNIT_ASSERT(log.isDue("servers/first", "reason", at(2s)));
    }

    // Guards against a change of era of which no line tells how much the copy lacked.
    void readOfAHigherEraTellsWhatWasLost()
    {
        auto view = makeView();
        view.replace({makeItem("a", {1, 20}), makeItem("b", {1, 25}), makeItem("c", {1, 30})}, {1, 30}, at(0s));
        CPPUNIT_ASSERT(!view.eraRead());
        view.recordEra(2, at(700ms));
        view.replace({makeItem("a", {2, 20})}, {2, 22}, at(1s));
        CPPUNIT_ASSERT(view.eraRead().has_value());
        CPPUNIT_ASSERT_EQUAL(StoreVersion(1, 30), view.eraRead()->before_);
        CPPUNIT_ASSERT_EQUAL(StoreVersion(2, 22), view.eraRead()->at_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), view.eraRead()->itemCount_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), view.eraRead()->missingCount_);
        CPPUNIT_ASSERT(view.eraRead()->seenAt_ == at(700ms));
        CPPUNIT_ASSERT(view.eraRead()->keptUntil_ > at(1s));
        CPPUNIT_ASSERT(view.eraRead()->source_ == NoticeSource::Read);
    }

    void readsWithinAnEraTellOfNoChange()
    {
        auto view = makeView();
        view.replace({makeItem("a", {1, 20})}, {1, 30}, at(0s));
        view.replace({}, {1, 40}, at(1s));
        CPPUNIT_ASSERT(!view.eraRead());
    }

    void lineOfAnEraTellsWhatWasLost()
    {
        const EraRead read{{1, 30}, {2, 22}, 17, 3, at(-400ms), at(2200ms), NoticeSource::Peer};
        const auto fields = makeEraLine(read, at(0s)).fields();
        CPPUNIT_ASSERT_EQUAL(std::string("store-era-in-force"), fields["event"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("1.30"), fields["before"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("2.22"), fields["storeVersion"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("peer"), fields["from"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(17, fields["items"].get<int>());
        CPPUNIT_ASSERT_EQUAL(3, fields["missing"].get<int>());
        CPPUNIT_ASSERT_EQUAL(2200.0, fields["missingKeptForMs"].get<double>());
        CPPUNIT_ASSERT_EQUAL(400.0, fields["knownForMs"].get<double>());
        CPPUNIT_ASSERT_EQUAL(0.0, makeEraLine(read, at(3s)).fields()["missingKeptForMs"].get<double>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewReport);
