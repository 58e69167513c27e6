// Tests the parsing, validation and formatting of configuration documents.
#include <LibConfiguration/LibConfiguration.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

using namespace Goldcrestwall;

namespace {

std::string readExample(const std::string &name)
{
    std::ifstream stream(std::string(EXAMPLES_FOLDER) + "/" + name);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

// A replacement in a valid document, and the problem that it must cause.
struct ProblemCase
{
    std::string from_;
    std::string to_;
    std::string path_;
    std::string reason_;
};

} // namespace

class TestConfiguration : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestConfiguration);
    CPPUNIT_TEST(examplesAreValid);
    CPPUNIT_TEST(formattedDocumentReadsBack);
    CPPUNIT_TEST(problemsAreReportedWithTheirPath);
    CPPUNIT_TEST_SUITE_END();

public:
    void examplesAreValid()
    {
        const auto motoSafi = checkConfiguration(readExample("moto-safi.json")).configuration_;
        const auto tammeoja = checkConfiguration(readExample("tammeoja.json")).configuration_;
        CPPUNIT_ASSERT(motoSafi && tammeoja);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), motoSafi->domains_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), tammeoja->domains_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), motoSafi->services_[0].servers_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(13), tammeoja->services_[0].servers_.size());
        CPPUNIT_ASSERT_EQUAL(2U, motoSafi->services_[0].servers_[0].slots_);
        CPPUNIT_ASSERT_EQUAL(50U, tammeoja->services_[0].servers_[0].connections_);
    }

    void formattedDocumentReadsBack()
    {
        const auto motoSafi = checkConfiguration(readExample("moto-safi.json")).configuration_;
        CPPUNIT_ASSERT(checkConfiguration(formatConfiguration(*motoSafi)).configuration_ == motoSafi);
    }

    void problemsAreReportedWithTheirPath()
    {
        const std::string valid = readExample("moto-safi.json");
        const std::vector<ProblemCase> cases{
            {"\"slots\": 2", "\"slots\": 0", "services[0].servers[0].slots", "whole number"},
            {"\"slots\": 2", "\"slots\": 2.5", "services[0].servers[0].slots", "whole number"},
            {"\"slots\": 2", "\"slots\": \"2\"", "services[0].servers[0].slots", "whole number"},
            {"\"slots\": 2", "\"slosts\": 2", "services[0].servers[0].slosts", "unknown member"},
            {"\"domain\": \"pwani-1\"", "\"domain\": \"pwani-9\"", "services[0].servers[0].domain", "no such failure domain"},
            {"127.0.0.1:21001", "127.0.0.1:21000", "services[0].servers[1].address", "used twice"},
            {"127.0.0.1:21001", "example:21001", "services[0].servers[1].address", "IP number"},
            {"127.0.0.1:21001", "127.0.0.1:0", "services[0].servers[1].address", "IP number"},
            {"histories-2", "histories-1", "services[0].servers[1].id", "used twice"},
            {"\"kind\": \"keyed\"", "\"kind\": \"sharded\"", "services[0].kind", "keyed, shared"},
            {"\"role\": \"reader\"", "\"role\": \"root\"", "operators[1].role", "reader, commander"},
            {"\"coldSlots\": 1", "\"coldSlots\": 3", "services[0].servers[0].coldSlots", "at most the number of slots"},
            {"\"customer\": \"moto-safi\"", "\"customer\": \"moto safi\"", "customer", "letters"},
            {"{", "[", "document", ""},
        };
        for (const ProblemCase &fault : cases) {
            std::string document = valid;
            const std::size_t position = document.find(fault.from_);
            CPPUNIT_ASSERT(position != std::string::npos);
            document.replace(position, fault.from_.size(), fault.to_);
            const ConfigurationCheck check = checkConfiguration(document);
            const bool isNamed = std::any_of(check.problems_.begin(), check.problems_.end(), [&](const ConfigurationProblem &problem) {
                return problem.path_ == fault.path_ && problem.reason_.find(fault.reason_) != std::string::npos;
            });
            CPPUNIT_ASSERT_MESSAGE(fault.to_ + " at " + fault.path_, isNamed && !check.configuration_);
        }
        CPPUNIT_ASSERT(!checkConfiguration(std::string(100000, '[')).configuration_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConfiguration);
