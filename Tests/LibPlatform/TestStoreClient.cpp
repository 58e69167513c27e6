// Tests the client of the key-value service against the stand-in, including its faults.
#include <LibPlatform/LibPlatform.h>
#include <StandIns/ScriptedResponder.h>
#include <StandIns/StoreStandIn.h>

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <thread>

using namespace Goldcrestwall;

namespace {

template<typename Server>
StoreSettings settingsFor(const Server &server)
{
    StoreSettings settings;
    settings.address_ = server.address();
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
    CPPUNIT_TEST(responseCutOffAtAnyByteIsNoAnswer);
    CPPUNIT_TEST(responseDuringAWriteThatIsResetIsNoAnswer);
    CPPUNIT_TEST(headThatViolatesTheProtocolIsNoAnswer);
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

    // Guards against a record that is taken to be missing, and against a swap that is taken to be done or not done.
    void responseCutOffAtAnyByteIsNoAnswer()
    {
        const std::string json = R"({"kvs":[{"key":"Y2x1c3Rlcg==","version":"1","value":"YQ=="}],"succeeded":true})";
        const std::vector<std::string> responses{
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(json.size()) + "\r\n\r\n" + json,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + makeChunk(json.substr(0, 20)) + makeChunk(json.substr(20)) + "0\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\n" + json,
        };
        for (const auto &response : responses) {
            for (std::size_t length = 0; length < response.size(); ++length) {
                for (const auto end : {ConnectionEnd::Orderly, ConnectionEnd::Reset}) {
                    expectNoAnswer(response.substr(0, length), end);
                }
            }
            const ScriptedResponder store({response});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::string("a"), StoreClient(settingsFor(store)).read({1, "cluster"}).record_.value_);
        }
        // Without a length, the end of the connection is the end of the body, unless it is a reset.
        expectNoAnswer(responses.back(), ConnectionEnd::Reset);
    }

    void responseDuringAWriteThatIsResetIsNoAnswer()
    {
        const std::string value(16U << 20U, 'v');
        const std::string json = R"({"succeeded":true})";
        for (const std::string fields : {"", "Connection: close\r\n"}) {
            const auto response = std::string("HTTP/1.1 200 OK\r\n").append(fields).append("\r\n").append(json);
            const ScriptedResponder store({response}, ConnectionEnd::ResetDuringUpload);
            CPPUNIT_ASSERT_MESSAGE(fields, StoreClient(settingsFor(store)).swap({1, "cluster", 0, value}).status_ == StoreStatus::Unknown);
        }
    }

    void headThatViolatesTheProtocolIsNoAnswer()
    {
        const std::string end = "Content-Length: 18\r\n\r\n{\"succeeded\":true}";
        for (const std::string head : {"HTTP/1.1 200 OK\r\nOdd Name: x\r\n",
                                       "HTTP/1.1 200 OK\r\nOdd\001Name: x\r\n",
                                       "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
                                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
                                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                                       "HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n",
                                       "HTTP/2.0 200 OK\r\n",
                                       "HTTP/1.1 0200 OK\r\n",
                                       "HTTP/1.1 000 OK\r\n"}) {
            expectNoAnswer(head + end, ConnectionEnd::Orderly);
        }
    }

private:
    static std::string makeChunk(const std::string &bytes)
    {
        std::ostringstream chunk;
        chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
        return chunk.str();
    }

    // Checks that a read with this response has no result, and that a swap with it may have been executed.
    static void expectNoAnswer(const std::string &response, ConnectionEnd end)
    {
        {
            const ScriptedResponder store({response}, end);
            const auto read = StoreClient(settingsFor(store)).read({1, "cluster"});
            CPPUNIT_ASSERT_MESSAGE(response, read.status_ == StoreStatus::Unavailable);
        }
        const ScriptedResponder store({response}, end);
        const auto swap = StoreClient(settingsFor(store)).swap({2, "cluster", 0, "a"});
        CPPUNIT_ASSERT_MESSAGE(response, swap.status_ == StoreStatus::Unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreClient);
