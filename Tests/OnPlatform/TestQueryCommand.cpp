// Tests of the query command as a process, against an operator's address that sends given bytes.
#include <StandIns/ScriptedResponder.h>

#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <memory>

using namespace Goldcrestwall;

namespace {

constexpr int Success = 0;
constexpr int Unknown = 4;

struct CommandResult
{
    int status_ = -1;
    std::string output_;
};

CommandResult runQuery(const std::string &address)
{
    const std::string command = std::string(ROUTER_PROGRAM) + " query --at=" + address + " --token=boot 'show instances' 2>&1";
    FILE *pipe = ::popen(command.c_str(), "r");
    CPPUNIT_ASSERT(pipe != nullptr);
    CommandResult result;
    std::array<char, 4096> bytes{};
    for (std::size_t size = 0; (size = std::fread(bytes.data(), 1, bytes.size(), pipe)) > 0;) {
        result.output_.append(bytes.data(), size);
    }
    const int status = ::pclose(pipe);
    result.status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

CommandResult runQueryAgainst(const std::string &response, ConnectionEnd end)
{
    const ScriptedResponder instance({response}, end);
    return runQuery(instance.address());
}

} // namespace

class TestQueryCommand : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestQueryCommand);
    CPPUNIT_TEST(responseThatIsCutOffIsNotPrintedAsTheAnswer);
    CPPUNIT_TEST(headThatViolatesTheProtocolIsNoAnswer);
    CPPUNIT_TEST(wholeResponseIsPrinted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an operator who takes a part of a list for all of it.
    void responseThatIsCutOffIsNotPrintedAsTheAnswer()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n";
        for (const std::string response : {"Content-Length: 20\r\n\r\nentry-1 live\n", "Transfer-Encoding: chunked\r\n\r\nd\r\nentry-1 live\n\r\n"}) {
            expectUnknown(head + response, ConnectionEnd::Orderly);
            expectUnknown(head + response, ConnectionEnd::Reset);
        }
        expectUnknown(head + "\r\nentry-1 live\n", ConnectionEnd::Reset);
        expectUnknown(head + "Content-Le", ConnectionEnd::Orderly);
    }

    void headThatViolatesTheProtocolIsNoAnswer()
    {
        for (const std::string line : {"Odd Name: x", "Odd\001Name: x", "Content-Length: 5", "Transfer-Encoding: gzip"}) {
            expectUnknown("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 13\r\n\r\nentry-1 live\n", ConnectionEnd::Orderly);
        }
        expectUnknown("HTTP/1.1 000 OK\r\nContent-Length: 13\r\n\r\nentry-1 live\n", ConnectionEnd::Orderly);
    }

    void wholeResponseIsPrinted()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n";
        for (const std::string response :
             {"Content-Length: 13\r\n\r\nentry-1 live\n", "Transfer-Encoding: chunked\r\n\r\nd\r\nentry-1 live\n\r\n0\r\n\r\n", "\r\nentry-1 live\n"}) {
            const auto result = runQueryAgainst(head + response, ConnectionEnd::Orderly);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, Success, result.status_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::string("entry-1 live\n"), result.output_);
        }
    }

private:
    // Checks that a response is reported as none and that the outcome is told to be unknown.
    static void expectUnknown(const std::string &response, ConnectionEnd end)
    {
        const auto result = runQueryAgainst(response, end);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, Unknown, result.status_);
        CPPUNIT_ASSERT_MESSAGE(result.output_, result.output_.starts_with("no complete response from ") && result.output_.find("live") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestQueryCommand);
