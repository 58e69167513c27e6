// The rates of requests that backend servers accept, as their responses say.
#pragma once

#include <LibPlacement/NoticeSource.h>
#include <LibPlacement/SharedRate.h>

#include <LibTopology/LibTopology.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace Goldcrestwall::Gateway {

// No server handles more requests per second; a higher limit is taken to be an error.
inline constexpr double MaxServerLimit = 1e6;

// The limit that one run of a server has named.
struct ServerLimit
{
    // Requests per second that it accepts from all instances together.
    double rate_ = 0;
    // Who told of it first.
    NoticeSource source_ = NoticeSource::Response;
    // When it was first named; other rates may have been named since.
    TimePoint learntAt_;
    // When the present rate was first named.
    TimePoint ratedAt_;
    // When it was last named.
    TimePoint namedAt_;

    auto operator<=>(const ServerLimit &) const = default;
};

// Returns what one of `instanceCount` instances may send of the requests that a limit allows. A few are sent however low the limit is.
RateAllowance limitAllowance(double limit, RatePart part, std::size_t instanceCount);

// A change of the limit of one run of a server. Without a new limit, the old one has ended.
struct LimitChange
{
    ServerIncarnation server_;
    std::optional<ServerLimit> before_;
    std::optional<ServerLimit> after_;

    auto operator<=>(const LimitChange &) const = default;
};

// Collects the limits that servers name in their responses, as one instance knows them.
//
// Responses overtake each other. A response ends or raises a limit only if its request was sent after that limit had been named; an
// older one may have been made before the server was in need. A server that starts again under its id is another run, without a limit.
class ServerLimits
{
public:
    using ChangeHandler = std::function<void(const LimitChange &, TimePoint now)>;

    explicit ServerLimits(ChangeHandler handler = {})
        : handler_(std::move(handler))
    {
    }

    // A response to a request sent at `sentAt` named a limit, in requests per second.
    void recordNamed(const ServerIncarnation &server, double rate, NoticeSource source, TimePoint sentAt, TimePoint now);
    // A response to a request sent at `sentAt` named no limit.
    void recordAbsent(const ServerIncarnation &server, TimePoint sentAt, TimePoint now);
    // Another instance has heard the server name a limit at `heardAt`, in a response to a request sent at `sentAt`. Ignored if a later
    // request was answered without one.
    void recordReported(const ServerIncarnation &server, double rate, TimePoint heardAt, TimePoint sentAt, TimePoint now);
    // The limit in force, or null.
    const ServerLimit *find(const ServerIncarnation &server) const;
    // Whether the server has named a limit and names it no more.
    bool hasEnded(const ServerIncarnation &server) const
    {
        return ended_.contains(server);
    }
    bool isEmpty() const
    {
        return limits_.empty();
    }
    const std::map<ServerIncarnation, ServerLimit> &entries() const
    {
        return limits_;
    }

private:
    void report(const LimitChange &change, TimePoint now) const;

    ChangeHandler handler_;
    std::map<ServerIncarnation, ServerLimit> limits_;
    // When the request was sent whose response ended the limit of a server.
    std::map<ServerIncarnation, TimePoint> ended_;
};

} // namespace Goldcrestwall::Gateway
