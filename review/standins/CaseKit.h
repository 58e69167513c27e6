// Runs a small deployment of router processes on loopback, with the project's stand-ins for the platform's store and servers.
#pragma once

#include <StandIns/PlatformServerStandIn.h>

#include <Poco/Net/HTTPClientSession.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::Review {

// Exit statuses of a case.
enum class CaseResult {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

// Whether the case runs with its disruption: not if the variable TROUBLE is 0.
bool hasTrouble();

// What was sent, answered and run, one line each, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::filesystem::path &path);

    void write(const std::string &text);

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
};

// Limits on callers' requests, as the operator's document names them.
struct CallerLimits
{
    std::uint64_t maxHeaderBytes_ = 16384;
    std::uint64_t maxBodyBytes_ = 67108864;
};

// A router process, started with the command of the deploy file.
class Router
{
public:
    Router(std::string name, std::string domain, std::string storeAddress, std::filesystem::path folder, std::vector<std::string> seeds);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    void start(const std::string &program);
    // Sends a signal; ignored if the process is not running.
    void signal(int number) const;
    bool hasEnded();
    bool isReady() const;
    const std::string &name() const
    {
        return name_;
    }
    std::uint16_t callerPort() const
    {
        return callerPort_;
    }
    std::string peerAddress() const;

private:
    void writeSettings() const;

    std::string name_;
    std::string domain_;
    std::string storeAddress_;
    std::filesystem::path folder_;
    std::vector<std::string> seeds_;
    std::uint16_t callerPort_ = 0;
    std::uint16_t readyPort_ = 0;
    std::uint16_t peerPort_ = 0;
    std::uint16_t metricsPort_ = 0;
    int pid_ = -1;
};

// A caller's request.
struct CallerRequest
{
    std::string method_ = "GET";
    std::string path_ = "/plain/x";
    std::string body_;
    // Value of a header that only makes the request's head longer.
    std::string padding_;
    std::chrono::milliseconds deadline_{2000};
};

// What a caller received.
struct CallerAnswer
{
    // 0 if the connection ended without an answer.
    int status_ = 0;
    std::string requestId_;
    bool isSigned_ = false;
    std::string body_;
};

// A caller's connection to one router, kept for several requests.
class CallerConnection
{
public:
    CallerConnection(std::uint16_t port, Record &record);

    CallerAnswer call(const std::string &requestId, const CallerRequest &request);

private:
    Poco::Net::HTTPClientSession session_;
    Record &record_;
};

// A store, some servers of one service and some routers in two failure domains. Everything it starts ends with it.
class SmallDeployment
{
public:
    // `program` is the program that the deploy file names. Without `hasServers` the case brings servers of its own, in the store already.
    SmallDeployment(std::size_t routers, const CallerLimits &limits, std::string program, Record &record, bool hasServers = true);
    ~SmallDeployment();
    SmallDeployment(const SmallDeployment &) = delete;
    SmallDeployment &operator=(const SmallDeployment &) = delete;

    PlatformStoreStandIn &store()
    {
        return store_;
    }
    PlatformRunRecorder &recorder()
    {
        return recorder_;
    }
    Router &router(std::size_t index)
    {
        return *routers_.at(index);
    }
    std::size_t routerCount() const
    {
        return routers_.size();
    }
    // Starts the routers and waits until all are ready and serve a request.
    bool start();
    // Writes the next version of the operator's document. The store's response acknowledges it.
    void putConfiguration(const CallerLimits &limits);
    // Adds a service and a route to it, with the prefix `/NAME/`, to the operator's document. To be called before the start.
    void addService(const std::string &name);
    std::string nextRequestId();

private:
    bool isServing();

    std::filesystem::path folder_;
    std::string program_;
    Record &record_;
    CallerLimits limits_;
    // Resources of the operator's document beyond those that each case has.
    std::string addedResources_;
    PlatformStoreStandIn store_{0};
    PlatformRunRecorder recorder_;
    std::vector<std::unique_ptr<PlatformServerStandIn>> servers_;
    std::vector<std::unique_ptr<Router>> routers_;
    int version_ = 3;
    std::uint64_t lastRequest_ = 0;
};

// Repeats a check until it holds; returns false on timeout.
bool eventually(const std::function<bool()> &check, std::chrono::milliseconds timeout);

} // namespace Goldcrestwall::Review
