// The rates of requests that backend servers accept, as their responses say.
#pragma once

#include <LibPlacement/NoticeSource.h>

#include <LibTopology/LibTopology.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace Goldcrestwall::Gateway {

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
    // The limit in force, or null.
    const ServerLimit *find(const ServerIncarnation &server) const;
    bool isEmpty() const
    {
        return limits_.empty();
    }
    const std::map<ServerIncarnation, ServerLimit> &entries() const
    {
        return limits_;
    }

private:
    void forgetOldest();
    void report(const LimitChange &change, TimePoint now) const;

    ChangeHandler handler_;
    std::map<ServerIncarnation, ServerLimit> limits_;
};

} // namespace Goldcrestwall::Gateway
