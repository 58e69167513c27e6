// Start and end of the processes of the system.
#include "Router.h"

#include "Caller.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <thread>

namespace Review {

namespace {

// The words of `run` in deploy/system.toml.
constexpr const char *Program = "target/Services/goldcrestwall";
constexpr const char *Command = "route";
constexpr const char *MetricsFlag = "--metrics-port=9464";
constexpr int FrontPort = 8381;
constexpr int ReadyPort = 8388;
constexpr int ControlPort = 8382;
constexpr std::size_t MaxSeeds = 3;
constexpr Duration StartTimeout = 20s;
constexpr Duration PollInterval = 20ms;

} // namespace

Router::Router(
    std::string name, std::string zone, std::string address, std::vector<std::string> seeds, std::string storeAddress, const std::filesystem::path &folder)
    : name_(std::move(name))
    , zone_(std::move(zone))
    , address_(std::move(address))
    , seeds_(std::move(seeds))
    , storeAddress_(std::move(storeAddress))
    , settingsPath_(folder / (name_ + ".toml"))
    , logPath_(folder / (name_ + ".log"))
{
}

Router::~Router()
{
    if (pid_ > 0) {
        signal(SIGKILL);
        awaitEnd(5s);
    }
}

std::string Router::frontAddress() const
{
    return address_ + ":" + std::to_string(FrontPort);
}

std::string Router::controlAddress() const
{
    return address_ + ":" + std::to_string(ControlPort);
}

void Router::writeSettings() const
{
    std::ofstream file(settingsPath_);
    file << "nodeName = \"" << name_ << "\"\nrole = \"router\"\nmachineClass = \"edge\"\nserves = [\"edge\",\"control\"]\nip = \"" << address_
         << "\"\nzone = \"" << zone_ << "\"\nregion = \"r\"\ninternalPorts = [7200,7215]\nseedNodes = [";
    for (std::size_t i = 0; i < seeds_.size(); ++i) {
        file << (i == 0 ? "\"" : ",\"") << seeds_[i] << '"';
    }
    file << "]\nbootstrap = true\ncountsAsLoss = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatS = 0.87\n"
            "invariants = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"own\",\"places\",\"platform\"]\ngrants = \"call\"\n"
            "[zones]\nr-a = \"r\"\nr-b = \"r\"\n[listen]\nfront = \""
         << frontAddress() << "\"\nready = \"" << address_ << ":" << ReadyPort << "\"\ncontrol = \"" << controlAddress()
         << "\"\n[limits]\ncpuShare = 0.2\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
            "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            "[parameters]\nseedStalenessS = 3\naddrReuseS = 2\ncontactS = 3\nackS = 4\nsyncS = 4\ndrainS = 2\ngraceS = 6\nlossSlackS = 0.2\n"
            "configApplyS = 2\nrollbackSlackS = 0.25\nmaxSkewS = 5\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 60\ncoldOver = 1.5\n"
            "coldSlack = 5\nevacuateS = 5\nrecoveryS = 15\nholdMaxS = 10\nfreezeSlackS = 0.3\n[platform]\naddress = \""
         << storeAddress_ << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinS = 1\n";
}

bool Router::start()
{
    writeSettings();
    const std::string variable = "GOLDCRESTWALL_NODE_FILE=" + settingsPath_.string();
    pid_ = ::fork();
    if (pid_ == 0) {
        // The process must not outlive the case, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        // Sockets of the stand-ins would stay open in this process after they have closed them.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::putenv(const_cast<char *>(variable.c_str()));
        ::execl(Program, Program, Command, MetricsFlag, nullptr);
        ::_exit(127);
    }
    return pid_ > 0;
}

void Router::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

bool Router::isRunning()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
    }
    return pid_ > 0;
}

bool Router::awaitEnd(Duration timeout)
{
    const TimePoint until = Clock::now() + timeout;
    while (isRunning() && Clock::now() < until) {
        std::this_thread::sleep_for(PollInterval);
    }
    return !isRunning();
}

bool Router::isReady() const
{
    return fetchStatus(address_ + ":" + std::to_string(ReadyPort), "/-/ready") == 200;
}

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "goldcrestwall-review-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
}

TemporaryFolder::~TemporaryFolder()
{
    // Set to look at the logs of the processes after a run.
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
}

std::vector<std::unique_ptr<Router>> makeRouters(std::size_t count, const std::string &storeAddress, const std::filesystem::path &folder)
{
    // Two cases that run at the same time have different addresses.
    const int pid = ::getpid();
    const std::string network = "127." + std::to_string(10 + pid / 200 % 200) + "." + std::to_string(1 + pid % 200) + ".";
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min(count, MaxSeeds); ++i) {
        seeds.push_back(network + std::to_string(i + 1) + ":" + std::to_string(ControlPort));
    }
    std::vector<std::unique_ptr<Router>> routers;
    for (std::size_t i = 0; i < count; ++i) {
        const auto number = std::to_string(i + 1);
        routers.push_back(std::make_unique<Router>("edge-" + number, i % 2 == 0 ? "r-a" : "r-b", network + number, seeds, storeAddress, folder));
    }
    return routers;
}

bool startAndAwaitReady(const std::vector<std::unique_ptr<Router>> &routers, Record &record)
{
    for (const auto &router : routers) {
        if (!router->start()) {
            return false;
        }
        record.write("process " + router->name() + " starts");
    }
    const TimePoint until = Clock::now() + StartTimeout;
    for (const auto &router : routers) {
        while (!router->isReady()) {
            if (!router->isRunning() || Clock::now() >= until) {
                return false;
            }
            std::this_thread::sleep_for(PollInterval);
        }
    }
    record.write("all processes are ready");
    return true;
}

} // namespace Review
