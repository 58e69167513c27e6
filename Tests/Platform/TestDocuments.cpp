// Tests the decoders of the configuration, the server entries and the settings file with valid, invalid and mutated input.
#include <platform/Platform.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Platform;

namespace {

const std::string GoodConfiguration = R"({"version":7,"resources":[
    {"resourceType":"routes","metadata":{"name":"r-1"},"spec":{"host":"a.example","prefix":"/x/","kind":"non_idempotent","timeoutS":1,"aimS":0.4,
     "priority":1,"service":"one","maxAttempts":2}},
    {"resourceType":"routes","metadata":{"name":"r-2"},"spec":{"host":"b.example","prefix":"/","kind":"idempotent","timeoutS":0.8,
     "weightedServices":[{"service":"one","weight":90},{"service":"two","weight":10}]}},
    {"resourceType":"services","metadata":{"name":"one"},"spec":{"healthPath":"/health","maxConns":120,"warmupS":3.0,"warmupPerS":5.3,"useShards":true}},
    {"resourceType":"services","metadata":{"name":"two"},"spec":{"healthPath":"/health","maxConns":50}},
    {"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutS":3,"idleTimeoutS":15}},
    {"resourceType":"news","metadata":{},"spec":{"anything":1}}]})";

const std::string GoodSettings = R"(
nodeName = "edge-1"
zone = "north"
ip = "10.0.0.1"
heartbeatS = 0.87
bootstrap = true
seedNodes = ["10.0.0.1:8382", "10.0.0.2:8382"]
unknown = { field = 1 }
[listen]
front = "10.0.0.1:8381"
ready = "10.0.0.1:8388"
control = "10.0.0.1:8382"
[parameters]
graceS = 6
holdMaxS = 10
retryBudgetRatio = 0.25
budgetWindowS = 12
budgetExtra = 60
[platform]
address = "10.200.1.7:8384"
)";

// An entry as a server writes it. `field` gets the JSON text `value`, or is left out if `value` is empty.
std::string serverEntry(const std::string &field, const std::string &value)
{
    std::vector<std::pair<std::string, std::string>> fields{
        {"service", "\"one\""},
        {"address", "\"10.1.0.9:8080\""},
        {"zone", "\"north\""},
        {"version", "\"v1\""},
        {"capacity", "2"},
        {"state", "\"ready\""},
        {"warmupLeftS", "0"},
        {"sequence", "4"},
        {"born", "1700000000123"},
    };
    const auto found = std::ranges::find(fields, field, &std::pair<std::string, std::string>::first);
    CPPUNIT_ASSERT_MESSAGE(field, found != fields.end());
    found->second = value;
    std::string text;
    for (const auto &[name, written] : fields) {
        if (!written.empty()) {
            text.append(text.empty() ? "" : ",").append("\"").append(name).append("\":").append(written);
        }
    }
    return "{" + text + "}";
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    CPPUNIT_ASSERT(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace

class TestDocuments : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDocuments);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(requestKindsAreDecoded);
    CPPUNIT_TEST(unusableConfigurationsAreRefusedWithAReason);
    CPPUNIT_TEST(serverEntriesAreDecoded);
    CPPUNIT_TEST(unusableServerEntriesAreRefused);
    CPPUNIT_TEST(serverEntriesWithoutAFieldAreRefused);
    CPPUNIT_TEST(serverEntriesWithAFieldOfAnotherTypeAreRefused);
    CPPUNIT_TEST(addressesThatNameNoServerAreRefused);
    CPPUNIT_TEST(numbersBeyondAnyMeaningAreRefused);
    CPPUNIT_TEST(unusableAssignmentsAreRefused);
    CPPUNIT_TEST(settingsAreRead);
    CPPUNIT_TEST(invalidSettingsAreReported);
    CPPUNIT_TEST(changedBytesNeverCrash);
    CPPUNIT_TEST_SUITE_END();

public:
    void configurationIsDecoded()
    {
        const auto decoded = decodeConfiguration(GoodConfiguration);
        CPPUNIT_ASSERT(decoded.value_);
        const auto &configuration = *decoded.value_;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), configuration.version_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), configuration.routes_.size());
        CPPUNIT_ASSERT(configuration.routes_[0].kind_ == Gateway::RequestKind::NonIdempotent);
        CPPUNIT_ASSERT(configuration.routes_[0].latencyObjective_ == 400ms);
        CPPUNIT_ASSERT(configuration.routes_[1].kind_ == Gateway::RequestKind::Idempotent);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(10), configuration.routes_[1].services_[1].weight_);
        CPPUNIT_ASSERT(configuration.service("one")->isSharded_);
        CPPUNIT_ASSERT(!configuration.service("two")->isSharded_);
        CPPUNIT_ASSERT(configuration.limits_.idleTimeout_ == 15s);
    }

    void requestKindsAreDecoded()
    {
        using Gateway::RequestKind;
        const std::vector<std::pair<std::string, RequestKind>> kinds{{"idempotent", RequestKind::Idempotent},
                                                                     {"non_idempotent", RequestKind::NonIdempotent},
                                                                     {"download", RequestKind::Download},
                                                                     // A request of an unknown kind may run only once.
                                                                     {"future", RequestKind::NonIdempotent}};
        for (const auto &[word, kind] : kinds) {
            const auto decoded = decodeConfiguration(replaced(GoodConfiguration, "\"kind\":\"idempotent\"", "\"kind\":\"" + word + "\""));
            CPPUNIT_ASSERT_MESSAGE(word, decoded.value_);
            CPPUNIT_ASSERT_MESSAGE(word, decoded.value_->routes_[1].kind_ == kind);
        }
        CPPUNIT_ASSERT(mayRunAgain(RequestKind::Download));
        CPPUNIT_ASSERT(!mayRunAgain(RequestKind::NonIdempotent));
    }

    void unusableConfigurationsAreRefusedWithAReason()
    {
        const std::vector<std::string> broken{
            "",
            "[]",
            GoodConfiguration.substr(0, 300),
            replaced(GoodConfiguration, "\"version\":7,", ""),
            replaced(GoodConfiguration, "\"timeoutS\":1,", ""),
            replaced(GoodConfiguration, "\"timeoutS\":1,", "\"timeoutS\":\"long\","),
            replaced(GoodConfiguration, "\"timeoutS\":1,", "\"timeoutS\":-1,"),
            replaced(GoodConfiguration, "\"service\":\"one\",", ""),
            replaced(GoodConfiguration, "\"weight\":90", "\"heavy\":90"),
            replaced(GoodConfiguration,
                     "\"resources\":[",
                     "\"resources\":["
                     "5,"),
        };
        for (const auto &text : broken) {
            const auto decoded = decodeConfiguration(text);
            CPPUNIT_ASSERT_MESSAGE(text, !decoded.value_);
            CPPUNIT_ASSERT(!decoded.problem_.reason_.empty());
        }
    }

    void serverEntriesAreDecoded()
    {
        const auto decoded = decodeServer("i-1",
                                          R"({"service":"one","address":"10.1.0.9:8080","zone":"north","version":"v1","capacity":2,
                                              "state":"draining","warmupLeftS":1.5,"sequence":4,"born":1700000000123})");
        CPPUNIT_ASSERT(decoded.value_);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), decoded.value_->id_);
        CPPUNIT_ASSERT(decoded.value_->state_ == Gateway::ServerState::Draining);
        CPPUNIT_ASSERT(decoded.value_->warmupLeft_ == 1500ms);
        CPPUNIT_ASSERT_EQUAL(UnixMilliseconds(1700000000123), decoded.value_->startTime_);
    }

    void unusableServerEntriesAreRefused()
    {
        for (const std::string &text : {std::string(),
                                        std::string("\xff\xfe\x00", 3),
                                        std::string("{}"),
                                        std::string("7"),
                                        std::string(R"({"service":"one"})"),
                                        serverEntry("state", "\"sleeping\""),
                                        serverEntry("capacity", "\"many\""),
                                        serverEntry("capacity", "0"),
                                        serverEntry("address", "\"nowhere\""),
                                        serverEntry("service", "5")}) {
            CPPUNIT_ASSERT_MESSAGE(text, !decodeServer("i-1", text).value_);
        }
    }

    // Guards against entries of other writers that are used though the server has not written them.
    void serverEntriesWithoutAFieldAreRefused()
    {
        for (const char *field : {"service", "address", "zone", "version", "capacity", "state", "warmupLeftS", "sequence"}) {
            const auto decoded = decodeServer("i-1", serverEntry(field, ""));
            CPPUNIT_ASSERT_MESSAGE(field, !decoded.value_);
            CPPUNIT_ASSERT_EQUAL(std::string("field '") + field + "' is missing", decoded.problem_.reason_);
        }
        // The platform's example of an entry has no `born`.
        const auto decoded = decodeServer("i-1", serverEntry("born", ""));
        CPPUNIT_ASSERT(decoded.value_);
        CPPUNIT_ASSERT_EQUAL(UnixMilliseconds(0), decoded.value_->startTime_);
    }

    void serverEntriesWithAFieldOfAnotherTypeAreRefused()
    {
        for (const char *field : {"service", "address", "zone", "version", "state"}) {
            for (const char *value : {"7", "null", "true", "[]", "{}", "[\"ready\"]", "\"\""}) {
                CPPUNIT_ASSERT_MESSAGE(field, !decodeServer("i-1", serverEntry(field, value)).value_);
            }
        }
        for (const char *field : {"capacity", "warmupLeftS", "sequence", "born"}) {
            for (const char *value : {"\"7\"", "null", "true", "[]", "{}", "[7]"}) {
                CPPUNIT_ASSERT_MESSAGE(field, !decodeServer("i-1", serverEntry(field, value)).value_);
            }
        }
    }

    void addressesThatNameNoServerAreRefused()
    {
        const auto entry = [](const std::string &address) {
            return serverEntry("address", "\"" + address + "\"");
        };
        CPPUNIT_ASSERT(decodeServer("i-1", entry("10.1.0.9:8080")).value_);
        for (const char *address : {"10.1.0.9:99999",
                                    "10.1.0.9:65536",
                                    "10.1.0.9:0",
                                    "10.1.0.9:-1",
                                    "10.1.0.9:+80",
                                    "10.1.0.9:8080x",
                                    "10.1.0.9:",
                                    "10.1.0.9",
                                    "x:1",
                                    "999.1.1.1:80",
                                    "10.1.0:80",
                                    "0.0.0.0:80",
                                    "255.255.255.255:80",
                                    "224.0.0.1:80",
                                    ":80",
                                    ":"}) {
            const auto decoded = decodeServer("i-1", entry(address));
            CPPUNIT_ASSERT_MESSAGE(address, !decoded.value_);
            CPPUNIT_ASSERT_MESSAGE(address, !decoded.problem_.reason_.empty());
        }
    }

    // Guards against numbers that overflow when they are converted.
    void numbersBeyondAnyMeaningAreRefused()
    {
        CPPUNIT_ASSERT(decodeServer("i-1", serverEntry("warmupLeftS", "3.5")).value_);
        CPPUNIT_ASSERT(decodeServer("i-1", serverEntry("born", "1790083048095")).value_);
        for (const char *value : {"1e15", "1e999", "-1", "18446744073709551616", "\"3\"", "null", "[]"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !decodeServer("i-1", serverEntry("warmupLeftS", value)).value_);
        }
        for (const char *value : {"1700000000123.5", "1e999", "-1", "18446744073709551616", "\"3\"", "null", "{}"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !decodeServer("i-1", serverEntry("born", value)).value_);
            CPPUNIT_ASSERT_MESSAGE(value, !decodeServer("i-1", serverEntry("sequence", value)).value_);
        }
        const std::vector<std::pair<std::string, std::string>> changes{
            {"\"maxConns\":120", "\"maxConns\":1e15"},
            {"\"priority\":1", "\"priority\":1e15"},
            {"\"maxAttempts\":2", "\"maxAttempts\":99999999999"},
            {"\"weight\":90", "\"weight\":1e15"},
            {"\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":1e15"},
            {"\"timeoutS\":1", "\"timeoutS\":1e15"},
            {"\"warmupS\":3.0", "\"warmupS\":1e14"},
            {"\"idleTimeoutS\":15", "\"idleTimeoutS\":1e14"},
        };
        for (const auto &[from, to] : changes) {
            CPPUNIT_ASSERT_MESSAGE(to, !decodeConfiguration(replaced(GoodConfiguration, from, to)).value_);
        }
    }

    void unusableAssignmentsAreRefused()
    {
        const std::string good = R"({"nextToken":9,"ranges":[{"first":0,"last":65535,"holder":["s0",1,3],"previous":[["s1",2,1]]}]})";
        CPPUNIT_ASSERT(Gateway::decodeAssignment(good));
        const std::vector<std::pair<std::string, std::string>> changes{
            {"65535", "131071"},
            {"65535", "65535.5"},
            {"\"first\":0", "\"first\":-65536"},
            {"\"first\":0", "\"first\":65536"},
            {"\"first\":0", "\"first\":1e300"},
            {"[\"s0\",1,3]", "[\"s0\",1,-3]"},
            {"[\"s0\",1,3]", "[\"s0\",1,1e300]"},
            {"[\"s0\",1,3]", "[\"s0\",1e300,3]"},
            {"[\"s0\",1,3]", "[\"s0\"]"},
            {"\"nextToken\":9", "\"nextToken\":-9"},
            // A later move would use this token a second time.
            {"\"nextToken\":9", "\"nextToken\":3"},
        };
        for (const auto &[from, to] : changes) {
            CPPUNIT_ASSERT_MESSAGE(to, !Gateway::decodeAssignment(replaced(good, from, to)));
        }
    }

    void settingsAreRead()
    {
        const auto reading = parseSettings(GoodSettings);
        CPPUNIT_ASSERT(reading.problems_.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("edge-1"), reading.settings_.name_);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:8382"), reading.settings_.peerAddress_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reading.settings_.seeds_.size());
        CPPUNIT_ASSERT(reading.settings_.heartbeat_ == 870ms);
        CPPUNIT_ASSERT(reading.settings_.isFirstStart_);
        CPPUNIT_ASSERT(!parseSettings(replaced(GoodSettings, "bootstrap = true\n", "")).settings_.isFirstStart_);
        CPPUNIT_ASSERT(reading.settings_.retryWindow_ == 12s);
        CPPUNIT_ASSERT_EQUAL(0.25, reading.settings_.retryRatio_);
    }

    void invalidSettingsAreReported()
    {
        const std::vector<std::pair<std::string, std::string>> cases{
            {"settings file", "= nothing"},
            {"nodeName", replaced(GoodSettings, "nodeName = \"edge-1\"", "")},
            {"nodeName", replaced(GoodSettings, "nodeName = \"edge-1\"", "nodeName = 5")},
            {"listen.front", replaced(GoodSettings, "10.0.0.1:8381", "10.0.0.1")},
            {"listen.front", replaced(GoodSettings, "10.0.0.1:8381", "10.0.0.1:http")},
            {"platform.address", replaced(GoodSettings, "address = \"10.200.1.7:8384\"", "")},
            {"parameters.graceS", replaced(GoodSettings, "graceS = 6", "graceS = \"long\"")},
            {"parameters.budgetExtra", replaced(GoodSettings, "budgetExtra = 60", "budgetExtra = -1")},
            {"bootstrap", replaced(GoodSettings, "bootstrap = true", "bootstrap = 1")},
            {"seedNodes", replaced(GoodSettings, "\"10.0.0.2:8382\"", "7")},
        };
        for (const auto &[name, text] : cases) {
            const auto reading = parseSettings(text);
            CPPUNIT_ASSERT_MESSAGE(text, !reading.problems_.empty());
            CPPUNIT_ASSERT_EQUAL(name, reading.problems_.front().name_);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("settings file"), readSettingsFile("/nowhere/at/all").problems_.front().name_);
    }

    void changedBytesNeverCrash()
    {
        std::mt19937 random(11);
        const auto mutate = [&random](std::string text) {
            for (unsigned i = 0; i < 1 + random() % 4; ++i) {
                const auto position = random() % text.size();
                switch (random() % 3) {
                case 0:
                    text[position] = static_cast<char>(random());
                    break;
                case 1:
                    text.erase(position, random() % 20);
                    break;
                default:
                    text.insert(position, text.substr(random() % text.size(), random() % 20));
                }
            }
            return text;
        };
        constexpr int Rounds = 3000;
        for (int i = 0; i < Rounds; ++i) {
            decodeConfiguration(mutate(GoodConfiguration));
            parseSettings(mutate(GoodSettings));
            Gateway::decodeAssignment(mutate(R"({"nextToken":9,"ranges":[{"first":0,"last":65535,"holder":["s0",1,3],"previous":[["s1",2,1]]}]})"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDocuments);
