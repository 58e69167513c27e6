// Runs stand-ins for the platform's key-value service and for backend servers, for tests and demonstrations only.
#include <StandIns/BackendStandIn.h>
#include <StandIns/StoreStandIn.h>

#include <LibConfiguration/LibConfiguration.h>

#include <docopt/docopt.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

constexpr const char *Usage = R"(goldcrestwall-standin: stand-ins for tests and demonstrations

Usage:
  goldcrestwall-standin store --port=PORT [--seconds=N]
  goldcrestwall-standin backends --configuration=FILE [--service-time=MS] [--seconds=N]

Options:
  --port=PORT           Port on 127.0.0.1.
  --configuration=FILE  Run a backend server for each server in this customer configuration.
  --service-time=MS     Milliseconds that a request takes [default: 1].
  --seconds=N           End after this time [default: 600].
)";

volatile std::sig_atomic_t isStopRequested = 0;

void requestStop(int)
{
    isStopRequested = 1;
}

void waitUntilStopped(long seconds)
{
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    const auto end = Goldcrestwall::monotonicNow() + std::chrono::seconds(seconds);
    while (isStopRequested == 0 && Goldcrestwall::monotonicNow() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

int runBackends(const std::string &file, long milliseconds, long seconds)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    const auto check = Goldcrestwall::checkConfiguration(text.str());
    if (!check.configuration_) {
        std::cerr << file << " is not a valid configuration\n";
        return 1;
    }
    std::vector<std::unique_ptr<Goldcrestwall::BackendStandIn>> backends;
    for (const auto &service : check.configuration_->services_) {
        for (const auto &server : service.servers_) {
            const auto port = static_cast<std::uint16_t>(std::stoul(server.address_.substr(server.address_.rfind(':') + 1)));
            Goldcrestwall::BackendBehaviour behaviour;
            behaviour.slots_ = server.slots_;
            behaviour.connections_ = server.connections_;
            behaviour.coldSlots_ = server.coldSlots_;
            behaviour.serviceTime_ = std::chrono::milliseconds(milliseconds);
            behaviour.checksTokens_ = server.tokenChecking_ == Goldcrestwall::TokenChecking::Checks;
            backends.push_back(std::make_unique<Goldcrestwall::BackendStandIn>(server.id_.value_, port, behaviour));
        }
    }
    waitUntilStopped(seconds);
    return 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const auto options = docopt::docopt(Usage, {arguments + 1, arguments + argumentCount});
    const long seconds = options.at("--seconds").asLong();
    if (options.at("store").asBool()) {
        const Goldcrestwall::StoreStandIn store(static_cast<std::uint16_t>(options.at("--port").asLong()));
        waitUntilStopped(seconds);
        return 0;
    }
    return runBackends(options.at("--configuration").asString(), options.at("--service-time").asLong(), seconds);
}
