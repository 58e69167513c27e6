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
    CPPUNIT_TEST(refusalNamesTheHolder);
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

    void refusalNamesTheHolder()
    {
        MemoryAccount account(1000);
        MemoryReservation input(account, MemoryHolder::CallerInput);
        CPPUNIT_ASSERT(input.tryReserve(150));
        CPPUNIT_ASSERT(!input.tryReserve(201));
        const auto fields = makeRefusalLine(account, MemoryHolder::CallerInput).fields();
        CPPUNIT_ASSERT_EQUAL(std::string("caller-input"), fields.at("holder").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(150, fields.at("held").get<int>());
        CPPUNIT_ASSERT_EQUAL(200, fields.at("share").get<int>());
        CPPUNIT_ASSERT_EQUAL(1, fields.at("refusals").get<int>());
        CPPUNIT_ASSERT_EQUAL(150, fields.at("reserved").at("caller-input").get<int>());
        MemoryUse use;
        use.setAccount(account);
        MetricRegistry metrics;
        setMemoryGauges(metrics, use);
        const auto text = metrics.expose();
        CPPUNIT_ASSERT_MESSAGE(text, text.find("goldcrestwall_memory_bytes{holder=\"caller-input\"} 150") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("goldcrestwall_memory_refusals{holder=\"caller-input\"} 1") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("goldcrestwall_memory_peak_bytes 150") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMemoryUse);
