// Tests of LibBase: hashing, decoding of malformed bytes and the change log.
#include <LibBase/LibBase.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace Goldcrestwall;

class TestBase : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestBase);
    CPPUNIT_TEST(slicesAreStableAndEven);
    CPPUNIT_TEST(malformedBytesDecodeToNothing);
    CPPUNIT_TEST(unknownExecutionIsNeverReadAsNotRun);
    CPPUNIT_TEST(changeLogKeepsTheNewest);
    CPPUNIT_TEST_SUITE_END();

public:
    void slicesAreStableAndEven()
    {
        // Ownership of keys depends on the hash, so it must not change between releases.
        CPPUNIT_ASSERT_EQUAL(sliceOfKey("stove-17", 256), sliceOfKey("stove-17", 256));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0x2d06800538d394c2), stableHash(""));
        std::map<SliceIndex, int> counts;
        for (int key = 0; key < 16000; ++key) {
            ++counts[sliceOfKey("key-" + std::to_string(key), 16)];
        }
        for (const auto &[slice, count] : counts) {
            CPPUNIT_ASSERT(count > 850 && count < 1150);
        }
    }

    void malformedBytesDecodeToNothing()
    {
        const std::string bytes = encode(Incarnation{InstanceId("a"), 7});
        CPPUNIT_ASSERT(decode<Incarnation>(bytes) == Incarnation({InstanceId("a"), 7}));
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            CPPUNIT_ASSERT(!decode<Incarnation>(bytes.substr(0, length)));
        }
        CPPUNIT_ASSERT(!decode<Incarnation>(bytes + "x"));
        // The header of an array of 4294967295 items must not cause memory to be allocated for them.
        CPPUNIT_ASSERT(!decode<std::vector<std::string>>(std::string("\xdd\xff\xff\xff\xff", 5)));
    }

    void unknownExecutionIsNeverReadAsNotRun()
    {
        msgpack::type::tuple<int, int> fields(9, 1);
        const auto verdict = decode<Verdict>(encode(fields));
        CPPUNIT_ASSERT(verdict && verdict->execution() == Execution::MayHaveRun);
    }

    void changeLogKeepsTheNewest()
    {
        ChangeLog log;
        for (std::size_t index = 0; index < ChangeLog::Capacity + 5; ++index) {
            log = log.with({ChangeId(std::to_string(index)), index, 0, {}, {}, {}});
        }
        CPPUNIT_ASSERT_EQUAL(ChangeLog::Capacity, log.notes().size());
        CPPUNIT_ASSERT(!log.contains(ChangeId("4")));
        CPPUNIT_ASSERT(log.contains(ChangeId("5")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBase);
