// Runs router processes on loopback, with stand-ins for the platform's store and servers.
#pragma once

#include "CallerConnection.h"

#include <StandIns/LoopbackProxy.h>
#include <StandIns/PlatformServerStandIn.h>

#include <atomic>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::OnPlatform {

// The memory setting of an instance unless a test chooses its own.
constexpr double DefaultMemoryMegabytes = 160;
// A memory setting that leaves just under 150,000 bytes for the requests that are read or handled, so that few bytes reach the limits.
constexpr double TightMemoryMegabytes = 17.986;

// A router process.
class RouterProcess
{
public:
    RouterProcess(std::string name,
                  std::string domain,
                  const std::string &storeAddress,
                  const std::filesystem::path &folder,
                  std::vector<std::string> seeds,
                  Duration maxHoldTime = 10s,
                  double memoryMegabytes = DefaultMemoryMegabytes);
    ~RouterProcess();
    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;

    void start();
    void signal(int number) const;
    // Waits for the process to exit. Returns its exit status, or nothing if it was killed by a signal or did not exit in time.
    std::optional<int> wait(Duration timeout);
    bool isRunning() const
    {
        return pid_ > 0;
    }
    int processId() const
    {
        return pid_;
    }
    bool isReady() const;
    // Resident memory in bytes as the system tells it; 0 if the process does not run.
    std::uint64_t residentBytes() const;
    const std::string &name() const
    {
        return name_;
    }
    std::uint16_t callerPort() const
    {
        return callerPort_;
    }
    std::uint16_t readyPort() const
    {
        return readyPort_;
    }
    std::uint16_t metricsPort() const
    {
        return metricsPort_;
    }
    std::string peerAddress() const;
    // The log lines written so far.
    std::vector<std::string> logLines() const;
    std::string metrics() const;

private:
    std::string name_;
    std::string domain_;
    std::filesystem::path settingsPath_;
    std::filesystem::path logPath_;
    std::uint16_t callerPort_ = 0;
    std::uint16_t readyPort_ = 0;
    std::uint16_t peerPort_ = 0;
    std::uint16_t metricsPort_ = 0;
    std::string storeAddress_;
    std::vector<std::string> seeds_;
    Duration maxHoldTime_;
    double memoryMegabytes_;
    bool hasStarted_ = false;
    int pid_ = -1;
};

// How the processes of a deployment reach the store and the servers.
enum class DeploymentNetwork {
    Direct,
    // Each instance reaches the store by a proxy of its own, and all instances reach each server by one proxy.
    Proxies,
};

struct DeploymentOptions
{
    // The longest hold that servers grant; the settings of the instances have it too.
    Duration maxHoldTime_ = 10s;
    // The memory setting of each instance.
    double memoryMegabytes_ = DefaultMemoryMegabytes;
    DeploymentNetwork network_ = DeploymentNetwork::Direct;
    // The era that the store states; 0 for none.
    std::uint64_t storeEra_ = 0;
    // Of the sharded service. The others have no entry yet.
    std::size_t registeredSharded_ = 4;
};

// A store, four servers of a plain and four of a sharded service, and router instances.
class Deployment
{
public:
    explicit Deployment(std::size_t instances, const DeploymentOptions &options = {});
    Deployment(std::size_t instances, Duration maxHoldTime, double memoryMegabytes = DefaultMemoryMegabytes)
        : Deployment(instances, DeploymentOptions{.maxHoldTime_ = maxHoldTime, .memoryMegabytes_ = memoryMegabytes})
    {
    }
    Deployment(std::size_t instances, DeploymentNetwork network)
        : Deployment(instances, DeploymentOptions{.network_ = network})
    {
    }
    ~Deployment();

    PlatformStoreStandIn &store()
    {
        return store_;
    }
    PlatformRunRecorder &recorder()
    {
        return recorder_;
    }
    PlatformServerStandIn &plain(std::size_t index)
    {
        return *plain_.at(index);
    }
    PlatformServerStandIn &sharded(std::size_t index)
    {
        return *sharded_.at(index);
    }
    // The proxy between an instance and the store. Only with `DeploymentNetwork::Proxies`, like the next two.
    LoopbackProxy &storeProxy(std::size_t instance)
    {
        return *storeProxies_.at(instance);
    }
    // The proxies between the instances and a server.
    LoopbackProxy &plainProxy(std::size_t index)
    {
        return *plainProxies_.at(index);
    }
    LoopbackProxy &shardedProxy(std::size_t index)
    {
        return *shardedProxies_.at(index);
    }
    RouterProcess &instance(std::size_t index)
    {
        return *instances_.at(index);
    }
    std::size_t instanceCount() const
    {
        return instances_.size();
    }
    // The instance that coordinates a service according to the store; null if there is none.
    RouterProcess *coordinator(const std::string &service);

    // Sets the longest body of a request, in bytes, for the configurations that are written from now on.
    void setMaxRequestBody(std::uint64_t bytes)
    {
        maxRequestBody_ = bytes;
    }
    // Writes the next version of the configuration. `extraRoutes` is JSON text in the platform's format, each route followed by a comma.
    void putConfiguration(const std::string &extraRoutes = "");
    // Writes the newest configuration once more.
    void rewriteConfiguration();
    // Waits until all running instances are ready and serve both services, the sharded one for sample keys of the whole key space.
    bool awaitServing(Duration timeout = 20s);
    // Sends a request over a new connection.
    CallerAnswer call(std::size_t instance, const CallerRequest &request);
    // Sends a request over a connection that may have carried others before.
    CallerAnswer call(CallerConnection &connection, const CallerRequest &request);
    // Repeats a check until it holds; returns false on timeout.
    static bool eventually(const std::function<bool()> &check, Duration timeout = 20s);

    // All log lines of all instances that contain the request id.
    std::vector<std::string> linesForRequest(const std::string &requestId) const;
    // All log lines of all instances that contain the text.
    std::vector<std::string> linesContaining(const std::string &text) const;
    // Copies the logs of all instances to a folder, which is made if it does not exist.
    void copyLogs(const std::filesystem::path &folder) const;

private:
    std::filesystem::path folder_;
    PlatformStoreStandIn store_{0};
    PlatformRunRecorder recorder_;
    std::vector<std::unique_ptr<PlatformServerStandIn>> plain_;
    std::vector<std::unique_ptr<PlatformServerStandIn>> sharded_;
    std::vector<std::unique_ptr<LoopbackProxy>> storeProxies_;
    std::vector<std::unique_ptr<LoopbackProxy>> plainProxies_;
    std::vector<std::unique_ptr<LoopbackProxy>> shardedProxies_;
    std::vector<std::unique_ptr<RouterProcess>> instances_;
    int version_ = 0;
    std::string configuration_;
    std::uint64_t maxRequestBody_ = 100000;
    std::atomic<std::uint64_t> nextRequest_ = 1;
};

} // namespace Goldcrestwall::OnPlatform
