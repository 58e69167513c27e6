// Client for the platform's key-value service through the JSON gateway of the etcd v3 API.
#pragma once

#include <LibCoordination/LibCoordination.h>

#include <atomic>
#include <optional>

namespace Goldcrestwall {

// The address of the service and the keys used in it.
struct StoreSettings
{
    // IP:PORT.
    std::string address_;
    // The prefix of all keys of this deployment.
    std::string prefix_ = "goldcrestwall/";
    // The prefix of the platform's list of instances.
    std::string instancePrefix_ = "platform/instances/";
    // Time-out of one call.
    Duration timeout_ = 1s;

    auto operator<=>(const StoreSettings &) const = default;
};

// Numbers of calls made so far.
struct StoreCounters
{
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t failures_ = 0;

    auto operator<=>(const StoreCounters &) const = default;
};

// Makes one blocking call at a time, each over a new connection. Not thread-safe, apart from the counters. The version of a record is
// the number of times its key was written. The service counts the writes, so a swap from version n always results in version n + 1.
class StoreClient
{
public:
    explicit StoreClient(StoreSettings settings);

    StoreResponse read(const ReadRecord &call);
    StoreResponse list(const ListRecords &call);
    // Compare-and-swap of one record. Returns Unknown if the response was lost, and Unavailable if the request cannot have arrived.
    StoreResponse swap(const SwapRecord &call);

    // Reads the platform's list of instances. Errors: StoreUnavailable, MalformedMessage.
    Result<PlatformList> readInstances(TimePoint now);

    StoreCounters counters() const;

private:
    // The outcome of one HTTP exchange.
    struct Exchange
    {
        bool isSent_ = false;
        std::optional<std::string> body_;
    };

    Exchange post(const std::string &path, const std::string &body);

    StoreSettings settings_;
    std::atomic<std::uint64_t> reads_ = 0;
    std::atomic<std::uint64_t> writes_ = 0;
    std::atomic<std::uint64_t> failures_ = 0;
};

} // namespace Goldcrestwall
