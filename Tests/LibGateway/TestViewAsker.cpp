// Tests of the choice of the peer that is asked for its view.
#include <LibGateway/LibGateway.h>

#include <Tests/StoreVersions.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

namespace {

constexpr OwnView Behind{atRevision(5), false, false};

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

// Calls every 50 ms until a peer is chosen or the time has come. Returns the peer, or nothing.
std::string chooseWithin(ViewAsker &asker, const std::vector<ViewSource> &sources, const OwnView &own, int &milliseconds, int until)
{
    for (; milliseconds < until; milliseconds += 50) {
        if (const auto chosen = asker.choose(sources, own, at(milliseconds))) {
            return *chosen;
        }
    }
    return {};
}

} // namespace

class TestViewAsker : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestViewAsker);
    CPPUNIT_TEST(onePeerIsAskedAtATime);
    CPPUNIT_TEST(peerThatDoesNotAnswerIsPassedOver);
    CPPUNIT_TEST(answerThatProgressesIsAwaited);
    CPPUNIT_TEST(peersWithoutNewsAreNotAsked);
    CPPUNIT_TEST(ownDomainGoesFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    void onePeerIsAskedAtATime()
    {
        ViewAsker asker(1);
        int time = 0;
        const std::vector<ViewSource> sources{{"a", atRevision(9), false, 0}, {"b", atRevision(8), false, 0}};
        CPPUNIT_ASSERT_EQUAL(std::string("a"), chooseWithin(asker, sources, Behind, time, 300));
        CPPUNIT_ASSERT_EQUAL(std::string(), chooseWithin(asker, sources, Behind, time, 500));
        // The answer brought the view to the peer's revision: there is nothing more to ask for.
        asker.recordAnswer("a");
        CPPUNIT_ASSERT_EQUAL(std::string(), chooseWithin(asker, sources, {atRevision(9), false, false}, time, 2000));
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             chooseWithin(asker, {{"a", atRevision(9), false, 0}, {"b", atRevision(10), false, 0}}, {atRevision(9), false, false}, time, 2050));
    }

    void peerThatDoesNotAnswerIsPassedOver()
    {
        ViewAsker asker(1);
        int time = 0;
        const std::vector<ViewSource> sources{{"a", atRevision(9), false, 0}, {"b", atRevision(8), false, 0}};
        CPPUNIT_ASSERT_EQUAL(std::string("a"), chooseWithin(asker, sources, Behind, time, 300));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), chooseWithin(asker, sources, Behind, time, 1100));
        asker.recordAnswer("b");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), chooseWithin(asker, sources, {atRevision(6), false, false}, time, time + 100));
        // It is asked nevertheless when there is no other.
        asker.recordAnswer("b");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), chooseWithin(asker, sources, {atRevision(8), false, false}, time, time + 100));
    }

    void answerThatProgressesIsAwaited()
    {
        ViewAsker asker(1);
        int time = 0;
        CPPUNIT_ASSERT_EQUAL(std::string("a"), chooseWithin(asker, {{"a", atRevision(9), false, 0}}, Behind, time, 300));
        for (std::size_t bytes = 1; bytes < 100; ++bytes) {
            CPPUNIT_ASSERT(!asker.choose({{"a", atRevision(9), false, bytes}, {"b", atRevision(9), false, 0}}, Behind, at(time += 50)));
        }
    }

    void peersWithoutNewsAreNotAsked()
    {
        ViewAsker asker(1);
        int time = 0;
        CPPUNIT_ASSERT_EQUAL(std::string(), chooseWithin(asker, {{"a", atRevision(5), true, 0}, {"b", atRevision(3), false, 0}}, Behind, time, 3000));
    }

    void ownDomainGoesFirst()
    {
        ViewAsker asker(1);
        const std::vector<ViewSource> sources{{"a", atRevision(9), false, 0}, {"b", atRevision(8), true, 0}};
        CPPUNIT_ASSERT(asker.choose(sources, {atRevision(5), true, false}, at(0)) == std::optional<std::string>("b"));
        // An instance that watches the store itself gives its watch some time.
        ViewAsker watching(1);
        CPPUNIT_ASSERT(!watching.choose(sources, {atRevision(5), true, true}, at(0)));
        CPPUNIT_ASSERT(watching.choose(sources, {atRevision(5), true, true}, at(200)) == std::optional<std::string>("b"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewAsker);
