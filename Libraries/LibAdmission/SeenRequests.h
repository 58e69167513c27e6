// Duplicate detection for requests that must run at most once at a backend server.
#pragma once

#include <LibAssignment/LibAssignment.h>
#include <LibBase/LibBase.h>

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace Goldcrestwall {

// Reads the creation time from a request identifier. Identifiers are UUIDs of version 7 (RFC 9562), whose first 48 bits are Unix
// milliseconds. Returns nothing if the identifier has another format.
std::optional<UnixMilliseconds> timeOfRequestId(const RequestId &id);

// Creates a request identifier for the given time; `random` fills the remaining bits.
RequestId makeRequestId(UnixMilliseconds time, std::uint64_t random);

// Limits of the duplicate detection.
struct DuplicateSettings
{
    // Maximum amount by which a caller's clock may be ahead of an instance's clock, in milliseconds.
    UnixMilliseconds clockSkew_ = 500;
    // How long a request is kept in the history, and therefore the maximum age of an identifier, in milliseconds.
    UnixMilliseconds retention_ = 120000;
    // Maximum number of requests in the history of one server.
    std::size_t capacity_ = 200000;

    auto operator<=>(const DuplicateSettings &) const = default;
};

// Result of looking up a request identifier in the history.
enum class DuplicateCheck {
    // Certainly not sent to the server before.
    Fresh,
    // Queued or running, or its outcome is unknown.
    Duplicate,
    // Ran and was answered.
    Completed,
    // May have been sent by a previous dispatcher, or before the history begins.
    PossibleDuplicate,
    // The creation time in the identifier lies in the future.
    FromFuture,
};

// The request history kept by the dispatcher of one server. For each range it is complete since a known time, at first the time at which
// this dispatcher took the range over. For an identifier created before that time, an earlier attempt cannot be ruled out.
class SeenRequests
{
public:
    explicit SeenRequests(DuplicateSettings settings = {})
        : settings_(settings)
    {
    }

    // Starts the history of a range at `now`.
    void setKnownSince(const KeyRange &range, UnixMilliseconds now);
    // Starts a new history at `now`. A later inherit() may extend it into the past, but not beyond the start of the present history.
    void restart(const KeyRange &range, UnixMilliseconds now);
    // The history of a range never reaches back beyond `since`, whatever is inherited.
    void limitHistory(const KeyRange &range, UnixMilliseconds since);
    // Time since which the history of a range is complete; the maximum value for a range that is not tracked.
    UnixMilliseconds knownSince(const KeyRange &range) const;

    DuplicateCheck check(const RequestId &id, const KeyRange &range, UnixMilliseconds now) const;

    // Adds a request that is about to be queued or sent.
    void insert(const RequestId &id, const KeyRange &range, UnixMilliseconds now);

    // Marks a request as run and answered.
    void setCompleted(const RequestId &id);

    // Removes a request that certainly did not run, so that it may be retried.
    void erase(const RequestId &id);

    // Removes requests older than the retention.
    void expire(UnixMilliseconds now);

    std::size_t size() const
    {
        return seen_.size();
    }

    // The identifiers in the history of a range, for its next dispatcher.
    std::vector<RequestId> requestsOf(const KeyRange &range) const;
    // Adopts the history of the previous dispatcher of a range, which is complete since `since`.
    void inherit(const KeyRange &range, UnixMilliseconds since, const std::vector<RequestId> &requests, UnixMilliseconds now);

private:
    struct SeenRequest
    {
        KeyRange range_;
        bool isCompleted_ = false;
    };
    struct Insertion
    {
        RequestId id_;
        UnixMilliseconds time_;
    };

    DuplicateSettings settings_;
    std::unordered_map<RequestId, SeenRequest> seen_;
    std::deque<Insertion> order_;
    std::map<KeyRange, UnixMilliseconds> knownSince_;
    std::map<KeyRange, UnixMilliseconds> historyLimits_;
    // Identifiers created before this time may have been evicted because of `capacity_`.
    UnixMilliseconds forgottenBefore_ = 0;
};

} // namespace Goldcrestwall
