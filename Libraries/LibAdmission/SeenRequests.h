// Remembers which requests that must not run twice have been passed to a backend server.
#pragma once

#include <LibAssignment/LibAssignment.h>
#include <LibBase/LibBase.h>

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace Goldcrestwall {

// Reads the time at which a request identifier was made. Identifiers are UUIDs of version 7 (RFC 9562), whose first 48 bits are
// Unix milliseconds. Returns nothing for anything else.
std::optional<UnixMilliseconds> timeOfRequestId(const RequestId &id);

// Makes a request identifier for the given time; `random` fills the remaining bits.
RequestId makeRequestId(UnixMilliseconds time, std::uint64_t random);

// The time allowances for request identifiers.
struct DuplicateSettings
{
    // How far a caller's clock may be ahead of an instance's clock.
    UnixMilliseconds clockSkew_ = 500;
    // How long a request is remembered, and so how old an identifier may be.
    UnixMilliseconds retention_ = 120000;
    // How many requests are remembered per server at most.
    std::size_t capacity_ = 200000;

    auto operator<=>(const DuplicateSettings &) const = default;
};

// What is known of an identifier.
enum class DuplicateCheck {
    // It certainly was not passed on before.
    Fresh,
    // It is waiting or running, or its fate is not known.
    Duplicate,
    // It ran and was answered.
    Completed,
    // It may have been passed on by an earlier dispatcher or before the memory begins.
    PossibleDuplicate,
    // The identifier claims to be from the future.
    FromFuture,
};

// The memory of one server's dispatcher. Per range it begins when this dispatcher took the range over: an identifier made before
// then cannot be disproved.
class SeenRequests
{
public:
    explicit SeenRequests(DuplicateSettings settings = {})
        : settings_(settings)
    {
    }

    // Begins a new memory for a range at `now`.
    void setKnownSince(const KeyRange &range, UnixMilliseconds now);
    // Begins a new memory at `now` that may be extended into the past by inheritance, but not beyond the present memory.
    void restart(const KeyRange &range, UnixMilliseconds now);
    // Does not let the memory of a range reach back beyond `since`, whatever is inherited.
    void limitHistory(const KeyRange &range, UnixMilliseconds since);
    // When the memory begins; the end of time for a range that is not tracked.
    UnixMilliseconds knownSince(const KeyRange &range) const;

    DuplicateCheck check(const RequestId &id, const KeyRange &range, UnixMilliseconds now) const;

    // Remembers that a request is about to be passed on.
    void insert(const RequestId &id, const KeyRange &range, UnixMilliseconds now);

    // Remembers that a request ran and was answered.
    void setCompleted(const RequestId &id);

    // Forgets a request that certainly did not run, so that it may be tried again.
    void erase(const RequestId &id);

    // Forgets requests that are older than the retention.
    void expire(UnixMilliseconds now);

    std::size_t size() const
    {
        return seen_.size();
    }

    // The remembered identifiers of a range, for its next dispatcher.
    std::vector<RequestId> requestsOf(const KeyRange &range) const;
    // Adopts the memory of the previous dispatcher of a range, which begins at `since`.
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
    // Identifiers made before this time may have been forgotten.
    UnixMilliseconds forgottenBefore_ = 0;
};

} // namespace Goldcrestwall
