// Measures the added latency and the throughput of the request path over loopback, compared with direct calls to the same stand-in.
#include <LibRuntime/LibRuntime.h>
#include <StandIns/BackendStandIn.h>
#include <StandIns/StoreStandIn.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <thread>

using namespace Goldcrestwall;

namespace {

constexpr std::size_t ServerCount = 4;
constexpr std::uint32_t SlotCount = 64;
constexpr int LatencyRequests = 4000;
constexpr int ThroughputRequests = 6000;
constexpr int ThroughputClients = 12;
constexpr std::uint16_t FirstPort = 23100;
constexpr std::uint16_t FirstBackendPort = 23200;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string makeConfiguration()
{
    CustomerConfiguration customer;
    customer.customer_ = CustomerId("bench");
    customer.credentialHash_ = hashCredential("secret");
    customer.domains_.push_back({DomainId("d1"), DomainState::In});
    ServiceConfiguration service;
    service.id_ = ServiceId("keyed");
    service.sliceCount_ = 64;
    service.accessPolicies_.push_back({customer.customer_, 0, 0, 1, {}, Priority::Interactive});
    for (std::size_t index = 0; index < ServerCount; ++index) {
        ServerConfiguration server;
        server.id_ = ServerId("s" + std::to_string(index + 1));
        server.address_ = loopback(static_cast<std::uint16_t>(FirstBackendPort + index));
        server.domain_ = DomainId("d1");
        server.slots_ = SlotCount;
        server.coldSlots_ = SlotCount;
        server.connections_ = 200;
        server.warmupRequests_ = 0;
        service.servers_.push_back(server);
    }
    customer.services_.push_back(service);
    return formatConfiguration(customer);
}

InstanceSettings makeSettings(int index, const std::string &store)
{
    InstanceSettings settings;
    settings.callerAddress_ = loopback(static_cast<std::uint16_t>(FirstPort + index));
    settings.peerAddress_ = loopback(static_cast<std::uint16_t>(FirstPort + 20 + index));
    settings.store_.address_ = store;
    settings.coordinator_.instance_ = InstanceId("bench-" + std::to_string(index));
    settings.coordinator_.address_ = settings.peerAddress_;
    settings.coordinator_.domain_ = DomainId("d1");
    return settings;
}

// HTTP client with one persistent connection.
class Client
{
public:
    Client(const std::string &address, std::string prefix)
        : session_(Poco::Net::SocketAddress(address))
        , prefix_(std::move(prefix))
    {
        session_.setKeepAlive(true);
        session_.setTimeout(Poco::Timespan(5, 0));
    }

    // Sends a request for the key and returns whether the response was complete and had status 200.
    bool call(const std::string &key)
    {
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, prefix_ + "/item", Poco::Net::HTTPMessage::HTTP_1_1);
        request.setKeepAlive(true);
        request.set("Goldcrestwall-Customer", "bench");
        request.set("Authorization", "Bearer secret");
        request.set("Goldcrestwall-Key", key);
        session_.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session_.receiveResponse(response), body);
        return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
    }

private:
    Poco::Net::HTTPClientSession session_;
    std::string prefix_;
};

struct Quantiles
{
    double median_ = 0;
    double p99_ = 0;
};

template<typename Call>
Quantiles measureLatency(Call call)
{
    std::vector<double> latencies;
    for (int index = 0; index < LatencyRequests; ++index) {
        const auto start = std::chrono::steady_clock::now();
        CHECK(call(index)) << "a request failed";
        latencies.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
    }
    std::sort(latencies.begin(), latencies.end());
    return {latencies[latencies.size() / 2], latencies[latencies.size() * 99 / 100]};
}

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) + 1e-6 * static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

// Requests per second over all clients, and CPU time of the whole process per request in microseconds.
struct Throughput
{
    double perSecond_ = 0;
    double processorMicroseconds_ = 0;
};

Throughput measureThroughput(const std::function<Client()> &makeClient, const std::function<std::string(int)> &keyOf)
{
    std::vector<std::thread> threads;
    const double processorBefore = processorSeconds();
    const auto start = std::chrono::steady_clock::now();
    for (int thread = 0; thread < ThroughputClients; ++thread) {
        threads.emplace_back([&, thread] {
            Client client = makeClient();
            for (int index = 0; index < ThroughputRequests; ++index) {
                CHECK(client.call(keyOf(thread * ThroughputRequests + index))) << "a request failed";
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    const double requests = ThroughputClients * ThroughputRequests;
    return {requests / seconds, 1e6 * (processorSeconds() - processorBefore) / requests};
}

} // namespace

int main(int, char **arguments)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(arguments[0]);
    // 1. Start the stand-ins and two instances in this process.
    StoreStandIn store(0);
    store.put("goldcrestwall/configuration/bench", encode(ConfigurationRecord().withDocument(makeConfiguration(), {})));
    std::vector<std::unique_ptr<BackendStandIn>> backends;
    for (std::size_t index = 0; index < ServerCount; ++index) {
        BackendBehaviour behaviour;
        behaviour.slots_ = SlotCount;
        behaviour.coldSlots_ = SlotCount;
        behaviour.connections_ = 200;
        behaviour.serviceTime_ = Duration(0);
        backends.push_back(std::make_unique<BackendStandIn>("s" + std::to_string(index + 1), static_cast<std::uint16_t>(FirstBackendPort + index), behaviour));
    }
    auto first = Instance::create(makeSettings(0, store.address()));
    auto second = Instance::create(makeSettings(1, store.address()));
    CHECK(first.isOk() && second.isOk()) << "cannot start the instances";
    std::this_thread::sleep_for(6s);
    // 2. Group keys by the instance that dispatches their requests.
    const auto table = first.value()->view().table();
    const ServiceKey service{CustomerId("bench"), ServiceId("keyed")};
    std::vector<std::string> localKeys;
    std::vector<std::string> remoteKeys;
    for (int index = 0; index < 1000; ++index) {
        const std::string key = "key-" + std::to_string(index);
        const ServiceRoute *route = table->find(service);
        const ServerEntry *owner = route->record_->ownerOf(route->record_->rangeOf(key));
        CHECK(owner) << "a key has no owner";
        (owner->dispatcher_ == table->self() ? localKeys : remoteKeys).push_back(key);
    }
    CHECK(!localKeys.empty() && !remoteKeys.empty()) << "one instance dispatches all keys";
    // 3. Measure latency with one client, and throughput with several.
    Client routed(loopback(FirstPort), "/bench/keyed");
    // Stand-ins check fencing tokens, so direct calls carry a high one.
    const auto directCall = [&](int) {
        static Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(loopback(FirstBackendPort))};
        session.setKeepAlive(true);
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, "/item", Poco::Net::HTTPMessage::HTTP_1_1);
        request.setKeepAlive(true);
        request.set("Goldcrestwall-Token", "1000000000");
        request.set("Goldcrestwall-Key", "key");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
    };
    const auto routedCall = [&](const std::vector<std::string> &keys) {
        return [&](int index) {
            return routed.call(keys[static_cast<std::size_t>(index) % keys.size()]);
        };
    };
    const Quantiles local = measureLatency(routedCall(localKeys));
    const Quantiles remote = measureLatency(routedCall(remoteKeys));
    const Throughput localThroughput = measureThroughput(
        [] {
            return Client(loopback(FirstPort), "/bench/keyed");
        },
        [&](int index) {
            return localKeys[static_cast<std::size_t>(index) % localKeys.size()];
        });
    const Throughput remoteThroughput = measureThroughput(
        [] {
            return Client(loopback(FirstPort), "/bench/keyed");
        },
        [&](int index) {
            return remoteKeys[static_cast<std::size_t>(index) % remoteKeys.size()];
        });
    // Direct calls come last: after their high token the first server refuses calls of the instances.
    const Quantiles base = measureLatency(directCall);
    std::printf("%-34s %10s %10s %12s %12s\n", "path", "median ms", "p99 ms", "added median", "added p99");
    const auto print = [&](const char *name, const Quantiles &quantiles) {
        std::printf(
            "%-34s %10.3f %10.3f %12.3f %12.3f\n", name, quantiles.median_, quantiles.p99_, quantiles.median_ - base.median_, quantiles.p99_ - base.p99_);
    };
    print("direct", base);
    print("entry + dispatcher, one instance", local);
    print("entry + stream + dispatcher, two", remote);
    std::printf("throughput, one instance: %.0f requests/s, %.1f us of processor per request (clients and stand-ins included)\n",
                localThroughput.perSecond_,
                localThroughput.processorMicroseconds_);
    std::printf("throughput, two instances: %.0f requests/s, %.1f us of processor per request (clients and stand-ins included)\n",
                remoteThroughput.perSecond_,
                remoteThroughput.processorMicroseconds_);
    const bool isWithinBound =
        local.median_ - base.median_ <= 0.12 && remote.median_ - base.median_ <= 0.25 && local.p99_ - base.p99_ <= 1.5 && remote.p99_ - base.p99_ <= 1.5;
    std::printf("bounds (added: 0.12 and 0.25 ms at the median, 1.5 ms at p99): %s\n", isWithinBound ? "met" : "MISSED");
    std::fflush(stdout);
    // Skip the shutdown of instances and stand-ins; there is nothing to save.
    std::_Exit(isWithinBound ? 0 : 1);
}
