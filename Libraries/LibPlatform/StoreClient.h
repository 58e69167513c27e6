// A client of the platform's key-value service, spoken to through the JSON gateway of the etcd v3 API.
#pragma once

#include <LibCoordination/LibCoordination.h>

#include <atomic>
#include <optional>

namespace Goldcrestwall {

// Where the service is and what is ours in it.
struct StoreSettings
{
    // IP number and port.
    std::string address_;
    // The prefix of all keys of this deployment.
    std::string prefix_ = "goldcrestwall/";
    // The prefix of the platform's list of instances.
    std::string instancePrefix_ = "platform/instances/";
    // How long one call may take.
    Duration timeout_ = 1s;

    auto operator<=>(const StoreSettings &) const = default;
};

// The calls made so far.
struct StoreCounters
{
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t failures_ = 0;

    auto operator<=>(const StoreCounters &) const = default;
};

// Makes one call at a time over a connection of its own; not thread-safe apart from the counters. The version of a record is the
// number of times its key was written, which the service counts itself, so that a swap from version n always makes version n + 1.
class StoreClient
{
public:
    explicit StoreClient(StoreSettings settings);

    StoreResponse read(const ReadRecord &call);
    StoreResponse list(const ListRecords &call);
    // A lost answer is reported as Unknown, a call that cannot have arrived as Unavailable.
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
