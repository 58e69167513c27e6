// Tests the client of the key-value service against the stand-in, including its faults.
#include <LibPlatform/LibPlatform.h>
#include <StandIns/StoreStandIn.h>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace Goldcrestwall;

namespace {

StoreSettings settingsFor(const StoreStandIn &store)
{
    StoreSettings settings;
    settings.address_ = store.address();
    settings.timeout_ = 300ms;
    return settings;
}

struct FaultCase
{
    StoreFault fault_;
    StoreStatus readStatus_;
    StoreStatus swapStatus_;
    // Whether the swap took effect nevertheless.
    bool isStored_;
};

const std::vector<FaultCase> FaultCases{
    {StoreFault::None, StoreStatus::Done, StoreStatus::Done, true},
    // An error response does not show whether the service had executed the call before it failed.
    {StoreFault::Down, StoreStatus::Unavailable, StoreStatus::Unknown, false},
    {StoreFault::LosesAnswers, StoreStatus::Unavailable, StoreStatus::Unknown, true},
    {StoreFault::Slow, StoreStatus::Unavailable, StoreStatus::Unknown, true},
};

} // namespace

class TestStoreClient : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreClient);
    CPPUNIT_TEST(swapsCountVersions);
    CPPUNIT_TEST(everyFaultHasItsStatus);
    CPPUNIT_TEST(listsAndInstances);
    CPPUNIT_TEST(unreachableServiceHasNoEffect);
    CPPUNIT_TEST_SUITE_END();

public:
    void swapsCountVersions()
    {
        StoreStandIn store(0);
        StoreClient client(settingsFor(store));
        const std::string binary("\0\xff\x01 value", 9);
        CPPUNIT_ASSERT(client.swap({1, "cluster", 0, binary}).status_ == StoreStatus::Done);
        const StoreResponse read = client.read({2, "cluster"});
        CPPUNIT_ASSERT(read.record_ == RecordValue({"cluster", 1, binary}));
        const StoreResponse conflict = client.swap({3, "cluster", 0, "other"});
        CPPUNIT_ASSERT(conflict.status_ == StoreStatus::Conflict);
        CPPUNIT_ASSERT(conflict.record_ == RecordValue({"cluster", 1, binary}));
        CPPUNIT_ASSERT(client.swap({4, "cluster", 1, "other"}).status_ == StoreStatus::Done);
        CPPUNIT_ASSERT(client.counters() == StoreCounters({1, 3, 0}));
    }

    void everyFaultHasItsStatus()
    {
        for (const FaultCase &fault : FaultCases) {
            StoreStandIn store(0);
            StoreClient client(settingsFor(store));
            store.setFault(fault.fault_, 600ms);
            CPPUNIT_ASSERT(client.read({1, "cluster"}).status_ == fault.readStatus_);
            CPPUNIT_ASSERT(client.swap({2, "cluster", 0, "value"}).status_ == fault.swapStatus_);
            store.setFault(StoreFault::None);
            std::this_thread::sleep_for(fault.fault_ == StoreFault::Slow ? 700ms : 0ms);
            CPPUNIT_ASSERT_EQUAL(Version(fault.isStored_ ? 1 : 0), client.read({3, "cluster"}).record_.version_);
        }
    }

    void listsAndInstances()
    {
        StoreStandIn store(0);
        StoreClient client(settingsFor(store));
        client.swap({1, "cluster", 0, "a"});
        client.swap({2, "service/c/s", 0, "b"});
        store.put("platform/instances/entry-1", R"({"startedAt": 5, "state": "leaving"})");
        const StoreResponse list = client.list({3});
        CPPUNIT_ASSERT(list.versions_ == std::vector<RecordVersion>({{"cluster", 1}, {"service/c/s", 1}}));
        const auto instances = client.readInstances(TimePoint(Duration(1)));
        CPPUNIT_ASSERT(instances.isOk());
        CPPUNIT_ASSERT(instances.value().instances_.at(InstanceId("entry-1")) == PlatformInstance({5, true}));
        store.put("platform/instances/entry-2", "not JSON");
        CPPUNIT_ASSERT(client.readInstances({}).error() == RouterError::MalformedMessage);
    }

    void unreachableServiceHasNoEffect()
    {
        StoreSettings settings;
        {
            const StoreStandIn store(0);
            settings = settingsFor(store);
        }
        StoreClient client(settings);
        CPPUNIT_ASSERT(client.swap({1, "cluster", 0, "value"}).status_ == StoreStatus::Unavailable);
        CPPUNIT_ASSERT(client.read({2, "cluster"}).status_ == StoreStatus::Unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreClient);
