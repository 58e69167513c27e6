// Changes records by compare-and-swap and determines the outcome of a change whose response was lost.
#pragma once

#include <LibCoordination/CoordinationContext.h>

#include <deque>
#include <functional>

namespace Goldcrestwall {

// The outcome of a change.
enum class ChangeOutcome {
    // It took effect.
    Applied,
    // It did not take effect and never will.
    Rejected,
    // The deadline passed while the outcome was unknown. The change may have taken effect or may still do so.
    Unknown,
    // The deadline passed before the store could be called; the change did not take effect.
    Unavailable,
};

// The result passed to the submitter of a change.
struct ChangeReport
{
    ChangeOutcome outcome_ = ChangeOutcome::Unknown;
    // The version of the record after an applied change, otherwise the newest known version.
    Version version_ = 0;
    ChangeId id_;

    bool operator==(const ChangeReport &) const = default;
};

// What to do if the store is unavailable.
enum class RetryMode {
    // Retry until the outcome is final or the deadline passes.
    UntilDecided,
    // Reject the change: ranges or servers are closed while it is pending, which costs more than not making it.
    OneAttempt,
};

// A change to one record.
struct RecordChange
{
    RecordKey key_;
    // Identifies the purpose of the change: a second change with the same tag is not accepted while the first is pending.
    std::string tag_;
    std::string actor_;
    std::string reason_;
    // Computes the new content from the current record (version 0 if absent). An empty result rejects the change.
    std::function<std::optional<std::string>(const RecordValue &current, const ChangeNote &note)> compute_;
    // Called once with the result. May be empty.
    std::function<void(const ChangeReport &report)> completed_;
    // When to report Unknown or Unavailable. Empty for internal changes, which are retried until their outcome is final.
    std::optional<TimePoint> deadline_;
    RetryMode retryMode_ = RetryMode::UntilDecided;
};

// Carries out changes one at a time per record.
//
// 1. Compute the new content from the newest known version and send the swap.
// 2. On a conflict, adopt the current record. If its change log contains the change, the change took effect, otherwise start again.
// 3. After a lost response, send the identical swap again: it either takes effect now or conflicts with a record whose change log shows
//    the outcome.
class RecordChanger
{
public:
    explicit RecordChanger(CoordinationContext &context)
        : context_(context)
    {
    }

    // Accepts a change unless one with the same tag is pending. Returns whether it was accepted.
    bool submit(RecordChange change, Now now);
    bool isPending(const std::string &tag) const;
    bool isAnyPending() const
    {
        return !queues_.empty();
    }

    void tick(Now now);
    // Returns whether the response belonged to a change.
    bool handleResponse(const StoreResponse &response, Now now);

private:
    struct Pending
    {
        RecordChange change_;
        ChangeNote note_;
        std::uint64_t call_ = 0;
        Version expected_ = 0;
        std::string value_;
        // A swap whose response was lost may still take effect, so its content must not change before the outcome is known.
        bool isUncertain_ = false;
        bool isReported_ = false;
        int failures_ = 0;
        TimePoint retryAt_;
    };

    void start(Pending &pending, Now now);
    void swap(Pending &pending);
    void scheduleRetry(Pending &pending, Now now);
    void report(Pending &pending, ChangeOutcome outcome);
    bool handleConflict(Pending &pending, const RecordValue &present, Now now);
    void expire(Pending &pending, Now now);
    void finishHead(const RecordKey &key, Now now);

    CoordinationContext &context_;
    std::map<RecordKey, std::deque<Pending>> queues_;
};

} // namespace Goldcrestwall
