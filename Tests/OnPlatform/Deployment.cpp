// Starts and stops the router processes of a deployment and sends requests to them.
#include "Deployment.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <thread>

namespace Goldcrestwall::OnPlatform {

using Json = nlohmann::json;

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(20);

// Below the ephemeral port range, so that no outgoing connection takes the port before the process listens there.
constexpr int FirstPort = 10000;
constexpr int PortCount = 20000;

// Test programs that run concurrently start at different ports.
std::uint16_t findFreePort()
{
    static int next = ::getpid() * 37;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % PortCount);
        try {
            Poco::Net::ServerSocket socket;
            socket.bind(Poco::Net::SocketAddress("127.0.0.1", port), false);
            return port;
        } catch (const Poco::Exception &) {
            // The port is in use.
        }
    }
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string fetch(std::uint16_t port, const std::string &path, int &status)
{
    status = 0;
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", port);
        session.setTimeout(Poco::Timespan(1, 0));
        Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        auto &stream = session.receiveResponse(response);
        status = response.getStatus();
        std::string body;
        Poco::StreamCopier::copyToString(stream, body);
        return body;
    } catch (const Poco::Exception &) {
        return {};
    }
}

// Puts a proxy before each server; the servers' entries name the proxies from now on.
std::vector<std::unique_ptr<LoopbackProxy>> placeProxies(const std::vector<std::unique_ptr<PlatformServerStandIn>> &servers)
{
    std::vector<std::unique_ptr<LoopbackProxy>> proxies;
    for (const auto &server : servers) {
        proxies.push_back(std::make_unique<LoopbackProxy>(server->address()));
        server->setRegisteredAddress(proxies.back()->address());
    }
    return proxies;
}

} // namespace

RouterProcess::RouterProcess(std::string name,
                             std::string domain,
                             const std::string &storeAddress,
                             const std::filesystem::path &folder,
                             std::vector<std::string> seeds,
                             Duration maxHoldTime,
                             double memoryMegabytes)
    : name_(std::move(name))
    , domain_(std::move(domain))
    , settingsPath_(folder / (name_ + ".toml"))
    , logPath_(folder / (name_ + ".log"))
    , callerPort_(findFreePort())
    , readyPort_(findFreePort())
    , peerPort_(findFreePort())
    , metricsPort_(findFreePort())
    , storeAddress_(storeAddress)
    , seeds_(std::move(seeds))
    , maxHoldTime_(maxHoldTime)
    , memoryMegabytes_(memoryMegabytes)
{
}

RouterProcess::~RouterProcess()
{
    if (pid_ > 0) {
        signal(SIGKILL);
        wait(5s);
    }
}

std::string RouterProcess::peerAddress() const
{
    return loopback(peerPort_);
}

void RouterProcess::start()
{
    std::ofstream settings(settingsPath_);
    settings << "nodeName = \"" << name_ << "\"\nzone = \"" << domain_
             << "\"\nip = \"127.0.0.1\"\nfutureField = 7\nbootstrap = " << (hasStarted_ ? "false" : "true") << "\nseedNodes = [";
    hasStarted_ = true;
    for (const auto &seed : seeds_) {
        settings << '"' << seed << "\",";
    }
    settings << "]\n[listen]\nfront = \"" << loopback(callerPort_) << "\"\nready = \"" << loopback(readyPort_) << "\"\ncontrol = \"" << peerAddress()
             << "\"\n[limits]\ncpuShare = 0.2\nmemoryMb = " << memoryMegabytes_
             << "\n[parameters]\nholdMaxS = " << std::chrono::duration<double>(maxHoldTime_).count()
             << "\ngraceS = 6\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 60\n[platform]\naddress = \"" << storeAddress_ << "\"\n";
    settings.close();
    const std::string settingsFlag = "--settings=" + settingsPath_.string();
    const std::string portFlag = "--metrics-port=" + std::to_string(metricsPort_);
    pid_ = ::fork();
    if (pid_ == 0) {
        const int log = ::open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        // Connections of the stand-ins would stay open in this process after they have closed them.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execl(ROUTER_PROGRAM, ROUTER_PROGRAM, "route", settingsFlag.c_str(), portFlag.c_str(), nullptr);
        ::_exit(127);
    }
}

void RouterProcess::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

std::optional<int> RouterProcess::wait(Duration timeout)
{
    int status = 0;
    const bool hasEnded = Deployment::eventually(
        [&] {
            return ::waitpid(pid_, &status, WNOHANG) == pid_;
        },
        timeout);
    if (!hasEnded) {
        return std::nullopt;
    }
    pid_ = -1;
    return WIFEXITED(status) ? std::make_optional(WEXITSTATUS(status)) : std::nullopt;
}

bool RouterProcess::isReady() const
{
    int status = 0;
    fetch(readyPort_, "/-/ready", status);
    return status == 200;
}

std::uint64_t RouterProcess::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    if (!(file >> totalPages >> residentPages)) {
        return 0;
    }
    return residentPages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::string RouterProcess::metrics() const
{
    int status = 0;
    return fetch(metricsPort_, "/metrics", status);
}

std::vector<std::string> RouterProcess::logLines() const
{
    std::ifstream log(logPath_);
    std::vector<std::string> lines;
    for (std::string line; std::getline(log, line);) {
        lines.push_back(line);
    }
    return lines;
}

Deployment::Deployment(std::size_t instances, const DeploymentOptions &options)
{
    store_.setEra(options.storeEra_);
    std::string name = (std::filesystem::temp_directory_path() / "goldcrestwall-XXXXXX").string();
    folder_ = ::mkdtemp(name.data());
    const char *domains[] = {"north", "south"};
    for (int i = 0; i < 4; ++i) {
        PlatformServerBehaviour behaviour;
        behaviour.service_ = "plain";
        behaviour.domain_ = domains[i % 2];
        plain_.push_back(std::make_unique<PlatformServerStandIn>("p-" + std::to_string(i), behaviour, store_, recorder_));
        behaviour.service_ = "sharded";
        behaviour.isSharded_ = true;
        behaviour.maxHoldTime_ = options.maxHoldTime_;
        sharded_.push_back(std::make_unique<PlatformServerStandIn>("s-" + std::to_string(i), behaviour, store_, recorder_));
    }
    std::vector<PlatformServerStandIn *> siblings;
    for (const auto &server : sharded_) {
        siblings.push_back(server.get());
    }
    for (const auto &server : sharded_) {
        server->setSiblings(siblings);
    }
    putConfiguration();
    const bool hasProxies = options.network_ == DeploymentNetwork::Proxies;
    if (hasProxies) {
        plainProxies_ = placeProxies(plain_);
        shardedProxies_ = placeProxies(sharded_);
        for (std::size_t i = 0; i < instances; ++i) {
            storeProxies_.push_back(std::make_unique<LoopbackProxy>(store_.address()));
        }
    }
    for (const auto &server : plain_) {
        server->registerEntry();
    }
    for (std::size_t i = 0; i < options.registeredSharded_; ++i) {
        sharded_[i]->registerEntry();
    }
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < instances; ++i) {
        const std::string storeAddress = hasProxies ? storeProxies_[i]->address() : store_.address();
        instances_.push_back(std::make_unique<RouterProcess>(
            "edge-" + std::to_string(i), domains[i % 2], storeAddress, folder_, seeds, options.maxHoldTime_, options.memoryMegabytes_));
        seeds.push_back(instances_.back()->peerAddress());
    }
    for (const auto &instance : instances_) {
        instance->start();
    }
}

Deployment::~Deployment()
{
    instances_.clear();
    // Each asks the others which keys they hold.
    for (const auto &server : sharded_) {
        server->stop();
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void Deployment::putConfiguration(const std::string &extraRoutes)
{
    ++version_;
    const auto route = [](const char *name, const char *host, const char *prefix, const char *kind, const char *service) {
        return R"({"resourceType":"routes","metadata":{"name":")" + std::string(name) + R"("},"spec":{"host":")" + host + R"(","prefix":")" + prefix
            + R"(","kind":")" + kind + R"(","timeoutS":2,"aimS":0.3,"priority":1,"service":")" + service + R"(","maxAttempts":2}},)";
    };
    configuration_ = R"({"version":)" + std::to_string(version_ * 3) + R"(,"resources":[)" + route("r-plain", "plain.example", "/plain/", "idempotent", "plain")
        + route("r-book", "plain.example", "/book/", "non_idempotent", "plain") + route("r-keyed", "keyed.example", "/keyed/", "idempotent", "sharded")
        + extraRoutes + R"({"resourceType":"services","metadata":{"name":"plain"},"spec":{"healthPath":"/health","maxConns":120,"warmupS":1,"warmupPerS":5}},
            {"resourceType":"services","metadata":{"name":"sharded"},"spec":{"healthPath":"/health","maxConns":120,"warmupS":1,"warmupPerS":5,"useShards":true}},
            {"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":4096,"maxBodyBytes":)"
        + std::to_string(maxRequestBody_) + R"(,"headerTimeoutS":3,"idleTimeoutS":15}}]})";
    rewriteConfiguration();
}

void Deployment::rewriteConfiguration()
{
    store_.put("op/config", configuration_);
}

RouterProcess *Deployment::coordinator(const std::string &service)
{
    const auto entry = Json::parse(store_.get("goldcrestwall/leaders/" + service), nullptr, false);
    for (const auto &instance : instances_) {
        if (entry.is_object() && entry.value("name", "") == instance->name()) {
            return instance.get();
        }
    }
    return nullptr;
}

bool Deployment::awaitServing(Duration timeout)
{
    return eventually(
        [this] {
            for (std::size_t i = 0; i < instances_.size(); ++i) {
                if (!instances_[i]->isRunning()) {
                    continue;
                }
                CallerRequest keyed;
                keyed.host_ = "keyed.example";
                keyed.path_ = "/keyed/x";
                for (std::uint32_t key = 0; key < 65536; key += 8192) {
                    keyed.key_ = key;
                    if (call(i, keyed).status_ != 200) {
                        return false;
                    }
                }
                if (!instances_[i]->isReady() || call(i, CallerRequest()).status_ != 200) {
                    return false;
                }
            }
            return true;
        },
        timeout);
}

CallerAnswer Deployment::call(std::size_t instance, const CallerRequest &request)
{
    CallerConnection connection(instances_.at(instance)->callerPort());
    return call(connection, request);
}

CallerAnswer Deployment::call(CallerConnection &connection, const CallerRequest &request)
{
    auto answer = connection.send(request, request.requestId_.empty() ? "q" + std::to_string(nextRequest_++) : request.requestId_);
    if (answer.status_ != 0 && answer.namedRequestId_ != answer.requestId_) {
        recorder_.recordViolation("response has another request id than " + answer.requestId_);
    }
    return answer;
}

bool Deployment::eventually(const std::function<bool()> &check, Duration timeout)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::microseconds(timeout);
    while (!check()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

std::vector<std::string> Deployment::linesForRequest(const std::string &requestId) const
{
    return linesContaining("\"" + requestId + "\"");
}

std::vector<std::string> Deployment::linesContaining(const std::string &text) const
{
    std::vector<std::string> found;
    for (const auto &instance : instances_) {
        for (const auto &line : instance->logLines()) {
            if (line.find(text) != std::string::npos) {
                found.push_back(line);
            }
        }
    }
    return found;
}

void Deployment::copyLogs(const std::filesystem::path &folder) const
{
    std::filesystem::create_directories(folder);
    for (const auto &entry : std::filesystem::directory_iterator(folder_)) {
        std::filesystem::copy(entry.path(), folder, std::filesystem::copy_options::overwrite_existing);
    }
}

} // namespace Goldcrestwall::OnPlatform
