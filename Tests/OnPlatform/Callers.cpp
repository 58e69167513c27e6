// Requests, raw connections, background load and checks of the tests on the platform.
#include "Callers.h"

#include <cppunit/TestAssert.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Goldcrestwall::OnPlatform {

namespace {

// The time limit of requests is 2 s, that of a grant 1 s.
constexpr Duration MaxPromptWait = 500ms;
constexpr int ReceiveTimeoutSeconds = 5;

} // namespace

CallerRequest makeBooking()
{
    CallerRequest request;
    request.method_ = "POST";
    request.path_ = "/book/visit?day=2";
    request.body_ = "visit on Tuesday";
    return request;
}

CallerRequest makeKeyed(std::uint32_t key)
{
    CallerRequest request;
    request.host_ = "keyed.example";
    request.path_ = "/keyed/x";
    request.key_ = key;
    return request;
}

std::uint32_t keyHeldBy(Deployment &deployment, std::size_t sharded)
{
    std::uint32_t key = 0;
    while (key < KeyCount && !deployment.sharded(sharded).holds(key)) {
        ++key;
    }
    CPPUNIT_ASSERT_MESSAGE("the server holds no keys", key < KeyCount);
    return key;
}

RawConnection::RawConnection(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return;
    }
    const timeval timeout{ReceiveTimeoutSeconds, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    descriptor_ = descriptor;
}

RawConnection::~RawConnection()
{
    close();
}

void RawConnection::send(const std::string &bytes) const
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto size = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(size);
    }
}

std::string RawConnection::receiveAll() const
{
    std::string received;
    char chunk[2000];
    for (;;) {
        const auto size = ::recv(descriptor_, chunk, sizeof chunk, 0);
        if (size == 0) {
            return received;
        }
        if (size < 0) {
            return received + "(no end)";
        }
        received.append(chunk, static_cast<std::size_t>(size));
    }
}

RawConnection::Received RawConnection::receiveNow() const
{
    Received received;
    char chunk[2000];
    for (;;) {
        const auto size = ::recv(descriptor_, chunk, sizeof chunk, MSG_DONTWAIT);
        if (size <= 0) {
            received.isClosed_ = size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
            return received;
        }
        received.bytes_.append(chunk, static_cast<std::size_t>(size));
    }
}

void RawConnection::close()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

std::string sendAndReceiveAll(std::uint16_t port, const std::string &bytes)
{
    const RawConnection connection(port);
    if (!connection.isOpen()) {
        return "(no connection)";
    }
    connection.send(bytes);
    return connection.receiveAll();
}

Load::Load(Deployment &deployment, const std::vector<std::size_t> &instances)
{
    for (const auto instance : instances) {
        for (int kind = 0; kind < 3; ++kind) {
            callers_.emplace_back([this, &deployment, instance, kind] {
                run(deployment, instance, kind);
            });
        }
    }
}

Load::~Load()
{
    stop();
}

void Load::stop()
{
    isStopped_ = true;
    for (auto &caller : callers_) {
        if (caller.joinable()) {
            caller.join();
        }
    }
}

std::map<int, std::size_t> Load::statuses() const
{
    const std::lock_guard lock(mutex_);
    return statuses_;
}

std::vector<CallerAnswer> Load::bookings() const
{
    const std::lock_guard lock(mutex_);
    return bookings_;
}

void Load::run(Deployment &deployment, std::size_t instance, int kind)
{
    for (std::uint32_t i = 0; !isStopped_; ++i) {
        const auto request = kind == 0 ? CallerRequest() : kind == 1 ? makeBooking() : makeKeyed(i * 6151 % KeyCount);
        const auto answer = deployment.call(instance, request);
        const std::lock_guard lock(mutex_);
        ++statuses_[answer.status_];
        if (kind == 1) {
            bookings_.push_back(answer);
        }
    }
}

TimedAnswer callTimed(Deployment &deployment, const CallerRequest &request)
{
    const TimePoint startedAt = monotonicNow();
    auto answer = deployment.call(0, request);
    return {std::move(answer), monotonicNow() - startedAt};
}

std::vector<TimedAnswer> callConcurrently(Deployment &deployment, const CallerRequest &request)
{
    constexpr int Callers = 8;
    constexpr int CallsOfEach = 10;
    std::mutex mutex;
    std::vector<TimedAnswer> answers;
    std::vector<std::jthread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&] {
            for (int call = 0; call < CallsOfEach; ++call) {
                auto timed = callTimed(deployment, request);
                const std::lock_guard lock(mutex);
                answers.push_back(std::move(timed));
            }
        });
    }
    callers.clear();
    return answers;
}

void checkAnswer(const Deployment &deployment, const std::string &label, int expected, const TimedAnswer &timed)
{
    const bool isAsExpected = timed.answer_.status_ == expected && timed.waited_ < MaxPromptWait;
    const std::string waited = label + " after " + std::to_string(timed.waited_.count()) + " us: ";
    CPPUNIT_ASSERT_MESSAGE(waited + (isAsExpected ? "" : explain(deployment, timed.answer_)), isAsExpected);
}

std::vector<std::string> findWrongBookings(Deployment &deployment, const std::vector<CallerAnswer> &bookings)
{
    std::map<std::string, std::size_t> runCounts;
    for (const auto &run : deployment.recorder().runs()) {
        ++runCounts[run.requestId_];
    }
    std::vector<std::string> findings;
    for (const auto &booking : bookings) {
        const auto runs = runCounts[booking.requestId_];
        const bool isRefused = booking.status_ == 503 || booking.status_ == 429;
        if (runs > 1 || (booking.status_ == 200 && runs == 0) || (isRefused && runs > 0)) {
            findings.push_back(booking.requestId_ + " got " + std::to_string(booking.status_) + " and ran " + std::to_string(runs) + " times");
        }
    }
    return findings;
}

void checkBookings(Deployment &deployment, const std::vector<CallerAnswer> &bookings)
{
    for (const auto &finding : findWrongBookings(deployment, bookings)) {
        CPPUNIT_FAIL(finding);
    }
}

std::string explain(const Deployment &deployment, const CallerAnswer &answer)
{
    // Lines are written a little later.
    std::vector<std::string> lines;
    Deployment::eventually([&] {
        lines = deployment.linesForRequest(answer.requestId_);
        return !lines.empty();
    });
    std::string text = "\n" + answer.requestId_ + " got " + std::to_string(answer.status_);
    for (const auto &line : lines) {
        text += "\n" + line;
    }
    return text;
}

void checkNoViolations(Deployment &deployment)
{
    for (const auto &violation : deployment.recorder().violations()) {
        CPPUNIT_FAIL(violation);
    }
}

} // namespace Goldcrestwall::OnPlatform
