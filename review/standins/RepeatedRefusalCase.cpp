// A server writes an earlier refusal once more on a kept connection, right before it answers the next request there.
#include "CaseKit.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <iostream>
#include <map>
#include <thread>

using namespace Goldcrestwall;
using namespace Goldcrestwall::Review;

namespace {

constexpr std::size_t RouterCount = 2;
constexpr std::size_t ServerCount = 5;
// As much as the site files name for second answers (`garble`, "extra late"): 0.6 of the servers, 0.03 of their answers.
constexpr std::size_t FaultyServerCount = 3;
constexpr double RepeatedShare = 0.03;
constexpr std::size_t BookingCount = 1000;
constexpr auto BookingInterval = std::chrono::milliseconds(10);
constexpr auto ServiceTime = std::chrono::milliseconds(3);
// A server refuses one in so many requests, as it does when it is full.
constexpr std::size_t RefusalInterval = 5;
constexpr int NotRunStatus = 503;
constexpr int TooManyRequestsStatus = 429;

// The refusal as `fleetbench wire` shows it, under "a server sheds": without a request id.
const std::string Refusal = "HTTP/1.1 503 Service Unavailable\r\nGoldcrestwall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

// A request as a server reads it; header names in lower case.
struct ServerRequest
{
    std::string path_;
    std::map<std::string, std::string> headers_;

    std::string header(const std::string &name) const
    {
        const auto found = headers_.find(name);
        return found == headers_.end() ? std::string() : found->second;
    }
};

// Reads requests from one connection.
class RequestReader
{
public:
    explicit RequestReader(Poco::Net::StreamSocket &socket)
        : socket_(socket)
    {
    }

    // Returns nothing when the peer has closed the connection.
    std::optional<ServerRequest> read()
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!receive()) {
                return std::nullopt;
            }
        }
        ServerRequest request = parse(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        const std::string length = request.header("content-length");
        const std::size_t bodySize = length.empty() ? 0 : std::stoul(length);
        while (buffer_.size() < bodySize) {
            if (!receive()) {
                return std::nullopt;
            }
        }
        buffer_.erase(0, bodySize);
        return request;
    }

private:
    bool receive()
    {
        std::array<char, 4096> chunk{};
        const int size = socket_.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        if (size <= 0) {
            return false;
        }
        buffer_.append(chunk.data(), static_cast<std::size_t>(size));
        return true;
    }

    static ServerRequest parse(const std::string &head)
    {
        ServerRequest request;
        std::size_t lineStart = head.find("\r\n");
        const auto pathStart = head.find(' ') + 1;
        request.path_ = head.substr(pathStart, head.find(' ', pathStart) - pathStart);
        while (lineStart != std::string::npos) {
            const auto lineEnd = head.find("\r\n", lineStart + 2);
            const std::string line = head.substr(lineStart + 2, lineEnd == std::string::npos ? lineEnd : lineEnd - lineStart - 2);
            const auto colon = line.find(": ");
            if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                std::ranges::transform(name, name.begin(), [](unsigned char letter) {
                    return static_cast<char>(std::tolower(letter));
                });
                request.headers_[name] = line.substr(colon + 2);
            }
            lineStart = lineEnd;
        }
        return request;
    }

    Poco::Net::StreamSocket &socket_;
    std::string buffer_;
};

// Requests that servers have run, by request id.
class RunLog
{
public:
    explicit RunLog(Record &record)
        : record_(record)
    {
    }

    void add(const std::string &requestId, const std::string &server)
    {
        record_.write(server + " runs " + requestId);
        const std::lock_guard lock(mutex_);
        ++runs_[requestId];
    }

    std::size_t count(const std::string &requestId) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = runs_.find(requestId);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    Record &record_;
    mutable std::mutex mutex_;
    std::map<std::string, std::size_t> runs_;
};

// A sound server but for one fault: it may write its last refusal on a connection once more.
class RefusingServer
{
public:
    RefusingServer(std::string id, bool isFaulty, PlatformStoreStandIn &store, RunLog &runs, Record &record)
        : id_(std::move(id))
        , isFaulty_(isFaulty)
        , runs_(runs)
        , record_(record)
        , socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
        store.put("servers/" + id_,
                  R"({"service":"plain","address":"127.0.0.1:)" + std::to_string(socket_.address().port())
                      + R"(","zone":"north","version":"v1","capacity":8,"state":"ready","warmupLeftS":0,"sequence":1,"born":)" + std::to_string(unixNow())
                      + "}");
        std::thread([this] {
            accept();
        }).detach();
    }

private:
    // Connections end with the process.
    void accept()
    {
        for (;;) {
            auto connection = socket_.acceptConnection();
            std::thread([this, connection]() mutable {
                try {
                    serve(connection);
                } catch (const Poco::Exception &) {
                    record_.write("a connection to " + id_ + " was reset");
                }
            }).detach();
        }
    }

    void serve(Poco::Net::StreamSocket connection)
    {
        RequestReader reader(connection);
        const auto send = [&connection](const std::string &bytes) {
            connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        };
        bool hasRefused = false;
        while (const auto request = reader.read()) {
            const std::string requestId = request->header("goldcrestwall-request-id");
            if (request->path_ == "/health") {
                send("HTTP/1.1 200 OK\r\nGoldcrestwall-Instance-Id: " + id_ + "\r\nGoldcrestwall-Server-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++answers_;
            if (hasRefused && mayRepeat()) {
                ++repeated_;
                record_.write(id_ + " writes its last refusal once more, as " + requestId + " has come");
                send(Refusal);
            } else if (!hasRefused && ++requests_ % RefusalInterval == 0) {
                record_.write(id_ + " refuses " + requestId);
                send(Refusal);
                hasRefused = true;
                continue;
            }
            hasRefused = false;
            runs_.add(requestId, id_);
            std::this_thread::sleep_for(ServiceTime);
            send("HTTP/1.1 200 OK\r\nGoldcrestwall-Request-Id: " + requestId + "\r\nGoldcrestwall-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok");
        }
    }

    // Whether the last refusal is to be written once more.
    bool mayRepeat() const
    {
        return isFaulty_ && static_cast<double>(repeated_ + 1) <= RepeatedShare * static_cast<double>(answers_);
    }

    std::string id_;
    bool isFaulty_ = false;
    RunLog &runs_;
    Record &record_;
    std::atomic<std::size_t> answers_ = 0;
    std::atomic<std::size_t> repeated_ = 0;
    Poco::Net::ServerSocket socket_;
    std::atomic<std::size_t> requests_ = 0;
};

CaseResult runCase(const std::string &program, Record &record)
{
    SmallDeployment deployment(RouterCount, CallerLimits(), program, record, false);
    // The servers' threads use them until the process ends.
    auto &runs = *new RunLog(record);
    for (std::size_t i = 0; i < ServerCount; ++i) {
        const bool isFaulty = hasTrouble() && i < FaultyServerCount;
        new RefusingServer("p-" + std::to_string(i), isFaulty, deployment.store(), runs, record);
    }
    if (!deployment.start()) {
        record.write("the deployment does not serve");
        return CaseResult::NotRun;
    }
    CallerRequest booking;
    booking.method_ = "POST";
    booking.path_ = "/book/x";
    booking.body_ = "one room";
    std::vector<std::unique_ptr<CallerConnection>> connections;
    for (std::size_t i = 0; i < RouterCount; ++i) {
        connections.push_back(std::make_unique<CallerConnection>(deployment.router(i).callerPort(), record));
    }
    std::vector<CallerAnswer> answers;
    for (std::size_t i = 0; i < BookingCount; ++i) {
        answers.push_back(connections[i % RouterCount]->call(deployment.nextRequestId(), booking));
        std::this_thread::sleep_for(BookingInterval);
    }
    std::size_t served = 0;
    std::size_t ranTwice = 0;
    std::size_t refusedAndRun = 0;
    for (const auto &answer : answers) {
        const std::size_t count = runs.count(answer.requestId_);
        const bool isRefused = answer.status_ == NotRunStatus || answer.status_ == TooManyRequestsStatus;
        served += answer.status_ == 200 ? 1 : 0;
        ranTwice += count > 1 ? 1 : 0;
        refusedAndRun += isRefused && count > 0 ? 1 : 0;
        if (count > 1 || (isRefused && count > 0)) {
            record.write("broken: " + answer.requestId_ + " was answered " + std::to_string(answer.status_) + " and ran " + std::to_string(count) + " times");
        }
    }
    record.write(std::to_string(BookingCount) + " bookings, " + std::to_string(served) + " served, " + std::to_string(ranTwice) + " ran more than once, "
                 + std::to_string(refusedAndRun) + " were refused as not run and ran");
    if (served < BookingCount / 2) {
        return CaseResult::NotRun;
    }
    return ranTwice == 0 && refusedAndRun == 0 ? CaseResult::Held : CaseResult::Broken;
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    if (argumentCount != 3) {
        std::cerr << "usage: case-repeated-refusal PROGRAM RECORD_FILE\n";
        return static_cast<int>(CaseResult::NotRun);
    }
    auto &record = *new Record(argumentValues[2]);
    const auto verdict = runCase(argumentValues[1], record);
    record.write("exit status " + std::to_string(static_cast<int>(verdict)));
    // Without the destructors of objects that the servers' threads still use.
    std::quick_exit(static_cast<int>(verdict));
}
