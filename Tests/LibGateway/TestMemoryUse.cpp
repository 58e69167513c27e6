// Tests of the reports of memory by holder.
#include <LibGateway/LibGateway.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Gateway;

class TestMemoryUse : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestMemoryUse);
    CPPUNIT_TEST(growthIsLoggedBySixteenths);
    CPPUNIT_TEST(residentMemoryIsRead);
    CPPUNIT_TEST(lineNamesTheHolders);
    CPPUNIT_TEST_SUITE_END();

public:
    void growthIsLoggedBySixteenths()
    {
        MemoryLog log;
        CPPUNIT_ASSERT(!log.isDue(9, 160));
        CPPUNIT_ASSERT(log.isDue(10, 160));
        CPPUNIT_ASSERT(!log.isDue(19, 160));
        CPPUNIT_ASSERT(!log.isDue(5, 160));
        CPPUNIT_ASSERT(log.isDue(25, 160));
    }

    void residentMemoryIsRead()
    {
        const auto before = readResidentBytes();
        std::vector<char> touched(32U << 20U, 'x');
        CPPUNIT_ASSERT(readResidentBytes() > before + touched.size() / 2);
    }

    void lineNamesTheHolders()
    {
        MemoryUse use;
        use.residentBytes_ = 7;
        use.peerOutputBytes_ = 3;
        const auto fields = makeMemoryLine(use, 160).fields();
        CPPUNIT_ASSERT_EQUAL(7, fields.at("resident").get<int>());
        CPPUNIT_ASSERT_EQUAL(3, fields.at("peerOutput").get<int>());
        CPPUNIT_ASSERT_EQUAL(160, fields.at("limit").get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMemoryUse);
