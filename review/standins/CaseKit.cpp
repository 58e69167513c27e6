// Starts and stops router processes and sends callers' requests.
#include "CaseKit.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <thread>

namespace Goldcrestwall::Review {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(20);
constexpr auto ServingTimeout = std::chrono::milliseconds(15000);
constexpr int ServerCount = 4;
// Below the ephemeral port range, so that no outgoing connection takes the port before the process listens there.
constexpr int FirstPort = 10000;
constexpr int PortCount = 20000;

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
            continue;
        }
    }
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string domainOf(std::size_t index)
{
    return index % 2 == 0 ? "north" : "south";
}

std::string formatRoute(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service = "plain")
{
    return R"({"resourceType":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":"plain.example","prefix":")" + prefix + R"(","kind":")" + kind
        + R"(","timeoutS":2,"aimS":0.4,"priority":1,"service":")" + service + R"(","maxAttempts":2}},)";
}

std::string formatService(const std::string &name)
{
    return R"({"resourceType":"services","metadata":{"name":")" + name + R"("},"spec":{"healthPath":"/health","maxConns":120,"warmupS":1,"warmupPerS":5}},)";
}

std::string formatConfiguration(int version, const CallerLimits &limits, const std::string &addedResources)
{
    return R"({"version":)" + std::to_string(version) + R"(,"resources":[)" + formatRoute("r-plain", "/plain/", "idempotent")
        + formatRoute("r-book", "/book/", "non_idempotent") + formatService("plain") + addedResources
        + R"({"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":)" + std::to_string(limits.maxHeaderBytes_) + R"(,"maxBodyBytes":)"
        + std::to_string(limits.maxBodyBytes_) + R"(,"headerTimeoutS":3,"idleTimeoutS":15}}]})";
}

} // namespace

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

bool eventually(const std::function<bool()> &check, std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!check()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

Record::Record(const std::filesystem::path &path)
    : file_(path, std::ios::trunc)
{
}

void Record::write(const std::string &text)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt_).count();
    const std::lock_guard lock(mutex_);
    file_ << elapsed << " ms  " << text << '\n' << std::flush;
}

Router::Router(std::string name, std::string domain, std::string storeAddress, std::filesystem::path folder, std::vector<std::string> seeds)
    : name_(std::move(name))
    , domain_(std::move(domain))
    , storeAddress_(std::move(storeAddress))
    , folder_(std::move(folder))
    , seeds_(std::move(seeds))
    , callerPort_(findFreePort())
    , readyPort_(findFreePort())
    , peerPort_(findFreePort())
    , metricsPort_(findFreePort())
{
}

Router::~Router()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

std::string Router::peerAddress() const
{
    return loopback(peerPort_);
}

void Router::writeSettings() const
{
    std::ofstream settings(folder_ / (name_ + ".toml"));
    settings << "nodeName = \"" << name_ << "\"\nrole = \"router\"\nmachineClass = \"edge\"\nserves = [\"edge\",\"control\"]\nip = \"127.0.0.1\"\nzone = \""
             << domain_ << "\"\nregion = \"here\"\nseedNodes = [";
    for (const auto &seed : seeds_) {
        settings << '"' << seed << "\",";
    }
    settings << "]\nbootstrap = true\nheartbeatS = 0.87\n[listen]\nfront = \"" << loopback(callerPort_) << "\"\nready = \"" << loopback(readyPort_)
             << "\"\ncontrol = \"" << peerAddress()
             << "\"\n[limits]\ncpuShare = 0.2\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\n[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
             << "[parameters]\naddrReuseS = 2\ncontactS = 3\ndrainS = 2\ngraceS = 6\nlossSlackS = 0.2\nconfigApplyS = 2\nretryBudgetRatio = 0.2\n"
             << "budgetWindowS = 10\nbudgetExtra = 60\nholdMaxS = 10\n[platform]\naddress = \"" << storeAddress_ << "\"\nform = \"kv\"\nhistoryS = 20\n";
}

void Router::start(const std::string &program)
{
    writeSettings();
    const std::string settingsFlag = "--settings=" + (folder_ / (name_ + ".toml")).string();
    const std::string portFlag = "--metrics-port=" + std::to_string(metricsPort_);
    const std::string logPath = (folder_ / (name_ + ".log")).string();
    pid_ = ::fork();
    if (pid_ == 0) {
        // Ends the router if the case itself is ended.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(program.c_str(), program.c_str(), "route", settingsFlag.c_str(), portFlag.c_str(), nullptr);
        ::_exit(127);
    }
}

void Router::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

bool Router::hasEnded()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
    }
    return pid_ <= 0;
}

bool Router::isReady() const
{
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", readyPort_);
        session.setTimeout(Poco::Timespan(1, 0));
        Poco::Net::HTTPRequest request("GET", "/-/ready", "HTTP/1.1");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception &) {
        return false;
    }
}

CallerConnection::CallerConnection(std::uint16_t port, Record &record)
    : session_("127.0.0.1", port)
    , record_(record)
{
    session_.setTimeout(Poco::Timespan(5, 0));
    session_.setKeepAlive(true);
    session_.setKeepAliveTimeout(Poco::Timespan(60, 0));
}

CallerAnswer CallerConnection::call(const std::string &requestId, const CallerRequest &request)
{
    CallerAnswer answer;
    answer.requestId_ = requestId;
    std::ostringstream line;
    line << "sent " << requestId << ": " << request.method_ << ' ' << request.path_ << ", body " << request.body_.size() << " bytes, padding "
         << request.padding_.size() << " bytes";
    record_.write(line.str());
    try {
        Poco::Net::HTTPRequest message(request.method_, request.path_, "HTTP/1.1");
        message.setHost("plain.example");
        message.set("Goldcrestwall-Request-Id", requestId);
        message.set("Goldcrestwall-Request-Deadline", std::to_string(request.deadline_.count()));
        if (!request.padding_.empty()) {
            message.set("X-Padding", request.padding_);
        }
        if (request.method_ != "GET") {
            message.setContentLength64(static_cast<Poco::Int64>(request.body_.size()));
        }
        session_.sendRequest(message) << request.body_;
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(session_.receiveResponse(response), answer.body_);
        answer.status_ = response.getStatus();
        answer.isSigned_ = response.has("Goldcrestwall-Server-Signature");
    } catch (const Poco::Exception &error) {
        record_.write("no answer to " + requestId + ": " + error.displayText());
        return answer;
    }
    record_.write("answered " + requestId + ": " + std::to_string(answer.status_) + (answer.isSigned_ ? ", signed by a server" : ", the router's own answer"));
    return answer;
}

SmallDeployment::SmallDeployment(std::size_t routers, const CallerLimits &limits, std::string program, Record &record, bool hasServers)
    : program_(std::move(program))
    , record_(record)
    , limits_(limits)
{
    std::string name = (std::filesystem::temp_directory_path() / "goldcrestwall-review-XXXXXX").string();
    folder_ = ::mkdtemp(name.data());
    putConfiguration(limits);
    for (int i = 0; hasServers && i < ServerCount; ++i) {
        PlatformServerBehaviour behaviour;
        behaviour.service_ = "plain";
        behaviour.domain_ = domainOf(static_cast<std::size_t>(i));
        servers_.push_back(std::make_unique<PlatformServerStandIn>("p-" + std::to_string(i), behaviour, store_, recorder_));
        servers_.back()->registerEntry();
    }
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < routers; ++i) {
        routers_.push_back(std::make_unique<Router>("edge-" + std::to_string(i), domainOf(i), store_.address(), folder_, seeds));
        seeds.push_back(routers_.back()->peerAddress());
    }
}

SmallDeployment::~SmallDeployment()
{
    routers_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void SmallDeployment::putConfiguration(const CallerLimits &limits)
{
    limits_ = limits;
    store_.put("op/config", formatConfiguration(version_, limits, addedResources_));
    record_.write("the store has accepted configuration " + std::to_string(version_) + ": maxHeaderBytes " + std::to_string(limits.maxHeaderBytes_)
                  + ", maxBodyBytes " + std::to_string(limits.maxBodyBytes_));
    version_ += 4;
}

void SmallDeployment::addService(const std::string &name)
{
    addedResources_.append(formatRoute(name, std::string("/").append(name).append("/"), "idempotent", name)).append(formatService(name));
    putConfiguration(limits_);
}

bool SmallDeployment::start()
{
    for (const auto &router : routers_) {
        router->start(program_);
        record_.write("started " + router->name());
    }
    return eventually(
        [this] {
            return isServing();
        },
        ServingTimeout);
}

bool SmallDeployment::isServing()
{
    return std::ranges::all_of(routers_, [this](const auto &router) {
        CallerConnection connection(router->callerPort(), record_);
        return router->isReady() && connection.call(nextRequestId(), CallerRequest()).status_ == 200;
    });
}

std::string SmallDeployment::nextRequestId()
{
    return "q" + std::to_string(++lastRequest_);
}

} // namespace Goldcrestwall::Review
