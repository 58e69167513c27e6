// Tests of a process's memory while callers hold as much of it as they can.
#include "Callers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>

#include <iostream>

using namespace Goldcrestwall;
using namespace Goldcrestwall::OnPlatform;

namespace {

constexpr double MemoryMegabytes = 160;
// Nine tenths of the setting, in bytes.
constexpr std::uint64_t MaxResidentBytes = 144'000'000;
constexpr std::size_t MaxCallers = 3000;
// Descriptors of the test program for everything but these callers.
constexpr std::size_t OtherDescriptors = 300;
constexpr Duration Patience = 4s;
constexpr std::size_t ExtensionBytes = 100'000;
// Just below the configured 100,000 of a body and 4,096 of a head.
constexpr std::size_t BodyBytes = 99'000;
constexpr std::size_t HeadBytes = 3'900;

std::string head(const std::string &fields)
{
    return "POST /book/held HTTP/1.1\r\nHost: plain.example\r\nGoldcrestwall-Request-Id: held\r\n" + fields;
}

std::string chunkExtension()
{
    return head("Transfer-Encoding: chunked\r\n\r\n5;x=") + std::string(ExtensionBytes, 'x');
}

std::string unfinishedHead()
{
    return head("X: ") + std::string(HeadBytes - head("X: ").size(), 'x');
}

std::string unfinishedBody()
{
    return head("Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n") + std::string(BodyBytes - 1, 'x');
}

// Raises the soft limit of descriptors to the hard one, and returns how many callers this program can be.
std::size_t callerCount()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::getrlimit(RLIMIT_NOFILE, &limit);
    const auto descriptors = static_cast<std::size_t>(limit.rlim_cur);
    return std::min(MaxCallers, descriptors > OtherDescriptors ? descriptors - OtherDescriptors : 0);
}

// What became of callers that never finish their requests.
struct Held
{
    std::uint64_t maxResidentBytes_ = 0;
    std::size_t open_ = 0;
    std::size_t refused_ = 0;
    std::size_t closed_ = 0;
    // Answered 408 because the rest of the request did not come.
    std::size_t timedOut_ = 0;
    // The last response that is neither a refusal nor a 408.
    std::string otherAnswer_;
};

std::ostream &operator<<(std::ostream &stream, const Held &held)
{
    return stream << "resident at most " << held.maxResidentBytes_ << ", open " << held.open_ << ", refused " << held.refused_ << ", closed " << held.closed_
                  << ", timed out " << held.timedOut_ << ' ' << held.otherAnswer_;
}

bool isRefusal(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 503") && answer.find("Connection: close") != std::string::npos && answer.find("Retry-After") != std::string::npos;
}

// Opens the connections and sends the given bytes on each in turn, then watches the instance's memory.
Held hold(RouterProcess &instance, const std::vector<std::string> &beginnings, std::vector<std::unique_ptr<RawConnection>> &callers)
{
    Held held;
    const auto watch = [&] {
        held.maxResidentBytes_ = std::max(held.maxResidentBytes_, instance.residentBytes());
    };
    const std::size_t count = callerCount();
    for (std::size_t i = 0; i < count; ++i) {
        callers.push_back(std::make_unique<RawConnection>(instance.callerPort()));
        if (callers.back()->isOpen()) {
            callers.back()->send(beginnings[i % beginnings.size()]);
        }
        watch();
    }
    Deployment::eventually(
        [&] {
            watch();
            return false;
        },
        Patience);
    for (const auto &caller : callers) {
        const auto received = caller->isOpen() ? caller->receiveNow() : RawConnection::Received{"", true};
        if (isRefusal(received.bytes_)) {
            ++held.refused_;
        } else if (received.bytes_.starts_with("HTTP/1.1 408")) {
            ++held.timedOut_;
        } else if (!received.bytes_.empty()) {
            held.otherAnswer_ = received.bytes_;
        } else {
            ++(received.isClosed_ ? held.closed_ : held.open_);
        }
    }
    return held;
}

} // namespace

class TestMemory : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestMemory);
    CPPUNIT_TEST(chunkExtensionsStayWithinTheMemory);
    CPPUNIT_TEST(unfinishedRequestsStayWithinTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a process that is ended for its memory because each of many connections keeps to a bound of its own.
    void chunkExtensionsStayWithinTheMemory()
    {
        check({chunkExtension()}, true);
    }

    void unfinishedRequestsStayWithinTheMemory()
    {
        check({chunkExtension(), unfinishedHead(), unfinishedBody()}, false);
    }

private:
    // `areNewCallersServed`: a request on a new connection is answered by a server while the others are still open.
    void check(const std::vector<std::string> &beginnings, bool areNewCallersServed)
    {
        Deployment deployment(1, 10s, MemoryMegabytes);
        CPPUNIT_ASSERT(deployment.awaitServing());
        auto &instance = deployment.instance(0);
        std::vector<std::unique_ptr<RawConnection>> callers;
        const auto held = hold(instance, beginnings, callers);
        std::ostringstream text;
        text << held;
        std::cout << ' ' << text.str() << std::flush;
        CPPUNIT_ASSERT_MESSAGE(text.str(), held.maxResidentBytes_ < MaxResidentBytes);
        CPPUNIT_ASSERT_MESSAGE(text.str(), held.refused_ + held.closed_ > 0);
        CPPUNIT_ASSERT_MESSAGE(text.str(), held.otherAnswer_.empty());
        const auto during = deployment.call(0, CallerRequest());
        CPPUNIT_ASSERT_MESSAGE(text.str(), during.status_ == 200 || (!areNewCallersServed && during.status_ == 503));
        callers.clear();
        CPPUNIT_ASSERT(Deployment::eventually([&] {
            return deployment.call(0, CallerRequest()).status_ == 200;
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.recorder().runsOf("held"));
        CPPUNIT_ASSERT(instance.residentBytes() < MaxResidentBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMemory);
