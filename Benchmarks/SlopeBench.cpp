// Measures how the cost of the control plane grows with instances, slices and configuration, for docs/CAPACITY.md.
#include <Tests/Harness/Harness.h>

#include <malloc.h>
#include <sys/resource.h>

#include <cstdio>

using namespace Goldcrestwall;

namespace {

constexpr std::uint64_t Seed = 7;
constexpr int LookupCount = 1000000;

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec) + 1e-6 * static_cast<double>(usage.ru_utime.tv_usec);
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

// Measures the cost per instance of an idle deployment of the given size, and the time until all instances have a new configuration.
void measureInstances(std::size_t instances)
{
    SimulationOptions options;
    options.instances_ = instances;
    std::vector<std::string> domains;
    for (int domain = 1; domain <= 15; ++domain) {
        domains.push_back("d" + std::to_string(domain));
        options.instanceDomains_.push_back(DomainId(domains.back()));
    }
    // Up to four servers per instance, as in the deployments of today: two services of at most 400 servers each.
    const std::size_t servers = std::min<std::size_t>(instances * 2, 400);
    options.customers_.push_back(makeCustomer(
        "c", domains, {{"a", ServiceKind::Keyed, servers, 2, TokenChecking::Checks}, {"b", ServiceKind::Shared, servers, 2, TokenChecking::Checks}}, 1024));
    Simulation simulation(options, Seed);
    simulation.boot();
    simulation.runFor(5s);
    const Duration length = instances > 100 ? 5s : 20s;
    const double seconds = std::chrono::duration<double>(length).count();
    const std::uint64_t messages = simulation.messages();
    const std::uint64_t bytes = simulation.messageBytes();
    const std::uint64_t reads = simulation.store().readCount();
    const std::uint64_t swaps = simulation.store().swapCount();
    const double processor = processorSeconds();
    simulation.runFor(length);
    const double perInstance = 1 / (seconds * static_cast<double>(instances));
    const double processorShare = 100 * (processorSeconds() - processor) * perInstance;
    const double messageRate = static_cast<double>(simulation.messages() - messages) * perInstance;
    const double byteRate = static_cast<double>(simulation.messageBytes() - bytes) * perInstance;
    const double readRate = static_cast<double>(simulation.store().readCount() - reads) / seconds;
    const double swapRate = static_cast<double>(simulation.store().swapCount() - swaps) / seconds;
    // Time for a configuration change to reach all instances.
    const Version before = simulation.instance(0).coordinator().catalog().versionOf("configuration/c");
    simulation.setDomainState(CustomerId("c"), DomainId("d1"), DomainState::Out);
    const TimePoint start = simulation.events().now();
    const auto hasReachedAllInstances = [&] {
        for (std::size_t index = 0; index < instances; ++index) {
            if (simulation.instance(index).coordinator().catalog().versionOf("configuration/c") <= before) {
                return false;
            }
        }
        return true;
    };
    while (!hasReachedAllInstances() && simulation.events().now() - start < Duration(30s)) {
        simulation.runFor(20ms);
    }
    const double spread = std::chrono::duration<double>(simulation.events().now() - start).count();
    const RecordValue *cluster = simulation.instance(0).coordinator().catalog().find(clusterKey());
    std::printf("%9zu %12.3f %10.1f %10.1f %12.1f %12.2f %12.2f %14zu\n",
                instances,
                processorShare,
                messageRate,
                byteRate,
                readRate,
                swapRate,
                spread,
                cluster->value_.size());
}

void measureSliceLookup(SliceIndex slices)
{
    constexpr std::size_t ServerCount = 200;
    std::vector<ServerId> servers;
    ServiceRecord record(CustomerId("c"), ServiceId("s"), slices);
    for (std::size_t index = 0; index < ServerCount; ++index) {
        servers.push_back(ServerId("server-" + std::to_string(index)));
    }
    record = record.withServers(servers, {});
    record = record.withMoves(planUnownedSlices(record, servers), {});
    const std::string bytes = encode(record);
    const std::size_t heapBefore = heapBytes();
    const auto decoded = std::make_unique<ServiceRecord>(*decode<ServiceRecord>(bytes));
    const std::size_t heap = heapBytes() - heapBefore;
    std::vector<std::string> keys;
    for (int index = 0; index < 4096; ++index) {
        keys.push_back("key-" + std::to_string(index));
    }
    const double start = processorSeconds();
    std::size_t found = 0;
    for (int index = 0; index < LookupCount; ++index) {
        found += decoded->ownerOf(decoded->rangeOf(keys[static_cast<std::size_t>(index) % keys.size()])) ? 1 : 0;
    }
    const double lookup = 1e9 * (processorSeconds() - start) / LookupCount;
    CHECK_EQ(found, static_cast<std::size_t>(LookupCount));
    std::printf("%9u %16zu %16zu %16.1f\n", slices, bytes.size(), heap, lookup);
}

void measureLease()
{
    LeaseHolder holder({InstanceId("h"), 1}, {});
    holder.setWitnesses({{{InstanceId("a"), 1}, {InstanceId("b"), 1}, {InstanceId("c"), 1}}, {}});
    std::size_t valid = 0;
    const double start = processorSeconds();
    for (int index = 0; index < LookupCount; ++index) {
        valid += holder.isValid(TimePoint(Duration(index))) ? 1 : 0;
    }
    std::printf("lease check: %.1f ns (%zu valid)\n", 1e9 * (processorSeconds() - start) / LookupCount, valid);
}

} // namespace

int main(int, char **arguments)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(arguments[0]);
    std::printf(
        "%9s %12s %10s %10s %12s %12s %12s %14s\n", "instances", "cpu % / inst", "msg/s", "bytes/s", "store rd/s", "store wr/s", "spread s", "cluster bytes");
    for (const std::size_t instances : {3, 11, 50, 200}) {
        measureInstances(instances);
    }
    std::printf("%9s %16s %16s %16s\n", "slices", "record bytes", "heap bytes", "look-up ns");
    for (const SliceIndex slices : {1000U, 10000U, 60000U, 100000U}) {
        measureSliceLookup(slices);
    }
    measureLease();
    return 0;
}
