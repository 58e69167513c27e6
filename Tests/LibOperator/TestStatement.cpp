// Tests the parser of the operators' language with valid, invalid and mutated statements.
#include <LibOperator/LibOperator.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace Goldcrestwall;

namespace {

constexpr int MutationCount = 100000;
constexpr unsigned Seed = 11;

const ServiceKey Histories{CustomerId("moto-safi"), ServiceId("histories")};

struct ValidCase
{
    std::string text_;
    StatementContent content_;
};

const std::vector<ValidCase> ValidCases{
    {"who owns stove-17 of moto-safi/histories", WhoOwns{Histories, "stove-17"}},
    {"who owns \"stove 17\" of moto-safi/histories", WhoOwns{Histories, "stove 17"}},
    {"why request 0190a1b2-0000-7000-8000-000000000000", WhyRequest{RequestId("0190a1b2-0000-7000-8000-000000000000")}},
    {"show changes", Show{Topic::Changes}},
    {"take domain pwani-1 of moto-safi out", SetDomainState{CustomerId("moto-safi"), DomainId("pwani-1"), DomainState::Out}},
    {"bring domain pwani-1 of moto-safi back", SetDomainState{CustomerId("moto-safi"), DomainId("pwani-1"), DomainState::In}},
    {"drain server histories-3 of moto-safi/histories", SetServerState{Histories, ServerId("histories-3"), ServerState::Draining}},
    {"bring server histories-3 of moto-safi/histories in", SetServerState{Histories, ServerId("histories-3"), ServerState::In}},
    {"move key stove-17 of moto-safi/histories to histories-4", MoveKey{Histories, "stove-17", ServerId("histories-4")}},
    {"is configuration of moto-safi in force", IsInForce{CustomerId("moto-safi")}},
    {"check configuration {\"a\": 1}", CheckDocument{"{\"a\": 1}"}},
    {"put configuration because \"new\" {}", PutDocument{"{}"}},
};

struct InvalidCase
{
    std::string text_;
    std::size_t column_;
    std::string expected_;
};

const std::vector<InvalidCase> InvalidCases{
    {"", 1, "one of: who"},
    {"whose key", 1, "one of: who"},
    {"who owns stove-17 off moto-safi/histories", 21, "'of'"},
    {"who owns stove-17 of moto-safi", 31, "'/'"},
    {"show everything", 6, "one of: owners"},
    {"take domain pwani-1 of moto-safi back", 34, "'out'"},
    {"take domain pwani-1 of moto-safi out at version x", 49, "a version number"},
    {"show changes now", 14, "'at version'"},
};

} // namespace

class TestStatement : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStatement);
    CPPUNIT_TEST(validStatements);
    CPPUNIT_TEST(clausesOfCommands);
    CPPUNIT_TEST(errorsNameColumnAndExpectation);
    CPPUNIT_TEST(mutatedStatementsNeverCrash);
    CPPUNIT_TEST_SUITE_END();

public:
    void validStatements()
    {
        for (const ValidCase &valid : ValidCases) {
            const ParsedStatement parsed = parseStatement(valid.text_);
            CPPUNIT_ASSERT_MESSAGE(valid.text_, std::holds_alternative<Statement>(parsed));
            CPPUNIT_ASSERT_MESSAGE(valid.text_, std::get<Statement>(parsed).content_ == valid.content_);
        }
    }

    void clausesOfCommands()
    {
        const auto parsed = std::get<Statement>(parseStatement("take domain d of c out at version 7 because \"power work\""));
        CPPUNIT_ASSERT(parsed.version_ == Version(7));
        CPPUNIT_ASSERT_EQUAL(std::string("power work"), parsed.reason_);
        CPPUNIT_ASSERT(parsed.isCommand());
    }

    void errorsNameColumnAndExpectation()
    {
        for (const InvalidCase &invalid : InvalidCases) {
            const ParsedStatement parsed = parseStatement(invalid.text_);
            CPPUNIT_ASSERT_MESSAGE(invalid.text_, std::holds_alternative<SyntaxProblem>(parsed));
            const auto &problem = std::get<SyntaxProblem>(parsed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(invalid.text_ + ": " + problem.expected_, invalid.column_, problem.column_);
            CPPUNIT_ASSERT_MESSAGE(problem.expected_, problem.expected_.find(invalid.expected_) != std::string::npos);
        }
    }

    void mutatedStatementsNeverCrash()
    {
        std::mt19937_64 random(Seed);
        int valid = 0;
        for (int index = 0; index < MutationCount; ++index) {
            std::string text = ValidCases[random() % ValidCases.size()].text_;
            for (std::uint64_t change = random() % 4; change > 0; --change) {
                text[random() % text.size()] = static_cast<char>(random() % 256);
            }
            const ParsedStatement parsed = parseStatement(text);
            const auto *problem = std::get_if<SyntaxProblem>(&parsed);
            CPPUNIT_ASSERT(!problem || (problem->column_ >= 1 && problem->column_ <= text.size() + 1 && !problem->expected_.empty()));
            valid += problem ? 0 : 1;
        }
        CPPUNIT_ASSERT(valid > 0 && valid < MutationCount);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStatement);
