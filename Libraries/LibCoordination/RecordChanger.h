// Changes records by compare-and-swap and finds out what became of a change whose answer was lost.
#pragma once

#include <LibCoordination/CoordinationContext.h>

#include <deque>
#include <functional>

namespace Goldcrestwall {

// How a change ended.
enum class ChangeOutcome {
    // It took effect.
    Applied,
    // It did not take effect and never will.
    Rejected,
    // The deadline passed while its outcome was not known. It may have taken effect or may still do so.
    Unknown,
    // The deadline passed before the store could be asked; it did not take effect.
    Unavailable,
};

// The result reported to the author of a change.
struct ChangeReport
{
    ChangeOutcome outcome_ = ChangeOutcome::Unknown;
    // The version of the record after an applied change, else the newest one known.
    Version version_ = 0;
    ChangeId id_;

    bool operator==(const ChangeReport &) const = default;
};

// What to do when the store cannot be asked.
enum class RetryMode {
    // Try until the change is decided or its deadline passes.
    UntilDecided,
    // Reject the change, because what waits for it costs more than doing without it.
    OneAttempt,
};

// A change to one record.
struct RecordChange
{
    RecordKey key_;
    // Changes with the same tag are the same intention: a second one is not taken while the first is pending.
    std::string tag_;
    std::string actor_;
    std::string reason_;
    // Computes the new content from the present one (version 0 when absent). Returning nothing rejects the change.
    std::function<std::optional<std::string>(const RecordValue &current, const ChangeNote &note)> compute_;
    // Called once with the result; may be empty.
    std::function<void(const ChangeReport &report)> completed_;
    // When to report Unknown or Unavailable; nothing for internal changes, which are tried until they are decided.
    std::optional<TimePoint> deadline_;
    RetryMode retryMode_ = RetryMode::UntilDecided;
};

// Carries out changes one at a time per record.
//
// 1. Compute the new content from the newest known version and swap.
// 2. On a conflict, adopt the present content; if it shows the change's identifier, the change took effect, else compute again.
// 3. After a lost answer, repeat the very same swap: it either takes effect now or conflicts with a content that tells.
class RecordChanger
{
public:
    explicit RecordChanger(CoordinationContext &context)
        : context_(context)
    {
    }

    // Takes a change unless one with its tag is pending; returns whether it was taken.
    bool submit(RecordChange change, Now now);
    bool isPending(const std::string &tag) const;
    bool isAnyPending() const
    {
        return !queues_.empty();
    }

    void tick(Now now);
    // Returns whether the answer belonged to a change.
    bool handleAnswer(const StoreResponse &answer, Now now);

private:
    struct Pending
    {
        RecordChange change_;
        ChangeNote note_;
        std::uint64_t call_ = 0;
        Version expected_ = 0;
        std::string value_;
        // A swap whose answer was lost may still take effect, so its content must not be given up.
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
