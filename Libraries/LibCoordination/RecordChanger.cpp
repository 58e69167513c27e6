// Implements the compare-and-swap of records with retries and the resolution of unknown outcomes.
#include <LibCoordination/RecordChanger.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

constexpr Duration FirstRetryDelay = 50ms;
constexpr Duration MaxRetryDelay = 2s;
constexpr int MaxBackoffDoublings = 6;

} // namespace

bool RecordChanger::submit(RecordChange change, Now now)
{
    if (isPending(change.tag_)) {
        return false;
    }
    std::deque<Pending> &queue = queues_[change.key_];
    Pending pending;
    pending.note_ = context_.makeNote(now, change.actor_, change.reason_);
    pending.change_ = std::move(change);
    const RecordKey key = pending.change_.key_;
    queue.push_back(std::move(pending));
    if (queue.size() == 1) {
        start(queue.front(), now);
        if (queue.front().call_ == 0) {
            finishHead(key, now);
        }
    }
    return true;
}

bool RecordChanger::isPending(const std::string &tag) const
{
    return std::any_of(queues_.begin(), queues_.end(), [&](const auto &queue) {
        return std::any_of(queue.second.begin(), queue.second.end(), [&](const Pending &pending) {
            return pending.change_.tag_ == tag;
        });
    });
}

void RecordChanger::tick(Now now)
{
    std::vector<RecordKey> finished;
    for (auto &[key, queue] : queues_) {
        for (Pending &pending : queue) {
            expire(pending, now);
        }
        Pending &head = queue.front();
        if (head.isReported_ && !head.isUncertain_) {
            finished.push_back(key);
        } else if (head.call_ == 0 && now.monotonic_ >= head.retryAt_) {
            if (head.isUncertain_) {
                swap(head);
            } else {
                start(head, now);
            }
            if (head.call_ == 0) {
                finished.push_back(key);
            }
        }
    }
    for (const RecordKey &key : finished) {
        finishHead(key, now);
    }
}

bool RecordChanger::handleResponse(const StoreResponse &response, Now now)
{
    const auto position = std::find_if(queues_.begin(), queues_.end(), [&](const auto &queue) {
        return queue.second.front().call_ == response.call_ && response.call_ != 0;
    });
    if (position == queues_.end()) {
        return false;
    }
    const RecordKey key = position->first;
    Pending &head = position->second.front();
    head.call_ = 0;
    switch (response.status_) {
    case StoreStatus::Done:
        context_.catalog().adopt({key, head.expected_ + 1, head.value_}, now.monotonic_);
        report(head, ChangeOutcome::Applied);
        finishHead(key, now);
        break;
    case StoreStatus::Conflict:
        head.failures_ = 0;
        if (handleConflict(head, response.record_, now)) {
            finishHead(key, now);
        }
        break;
    case StoreStatus::Unknown:
        head.isUncertain_ = true;
        scheduleRetry(head, now);
        break;
    case StoreStatus::Unavailable:
        // Only a change that certainly had no effect may be rejected.
        if (head.change_.retryMode_ == RetryMode::OneAttempt && !head.isUncertain_) {
            report(head, ChangeOutcome::Rejected);
            finishHead(key, now);
            break;
        }
        scheduleRetry(head, now);
        break;
    }
    return true;
}

void RecordChanger::start(Pending &pending, Now)
{
    const RecordValue *known = context_.catalog().find(pending.change_.key_);
    const RecordValue current = known ? *known : RecordValue{pending.change_.key_, 0, {}};
    auto value = pending.change_.compute_(current, pending.note_);
    if (!value) {
        report(pending, ChangeOutcome::Rejected);
        return;
    }
    pending.expected_ = current.version_;
    pending.value_ = std::move(*value);
    swap(pending);
}

void RecordChanger::swap(Pending &pending)
{
    pending.call_ = context_.nextCall();
    context_.addAction(SwapRecord{pending.call_, pending.change_.key_, pending.expected_, pending.value_});
}

void RecordChanger::scheduleRetry(Pending &pending, Now now)
{
    const int doublings = std::min(pending.failures_++, MaxBackoffDoublings);
    const Duration delay = std::min(MaxRetryDelay, FirstRetryDelay * (1 << doublings));
    pending.retryAt_ = now.monotonic_ + context_.jitter(delay);
}

void RecordChanger::report(Pending &pending, ChangeOutcome outcome)
{
    if (pending.isReported_) {
        return;
    }
    pending.isReported_ = true;
    if (pending.change_.completed_) {
        pending.change_.completed_({outcome, context_.catalog().versionOf(pending.change_.key_), pending.note_.id_});
    }
}

// Returns whether the outcome of the change is final.
bool RecordChanger::handleConflict(Pending &pending, const RecordValue &present, Now now)
{
    if (context_.catalog().adopt(present, now.monotonic_) == AdoptionResult::Malformed) {
        LOG(ERROR) << "record " << present.key_ << " version " << present.version_ << " in the store is malformed; change " << pending.note_.id_.value_
                   << " was not applied";
        report(pending, pending.isUncertain_ ? ChangeOutcome::Unknown : ChangeOutcome::Rejected);
        return true;
    }
    if (pending.isUncertain_) {
        const ChangeLog changes = changesOfRecord(present);
        if (changes.contains(pending.note_.id_)) {
            report(pending, ChangeOutcome::Applied);
            return true;
        }
        const bool isWithinChangeLog = present.version_ <= pending.expected_ + ChangeLog::Capacity;
        if (!isWithinChangeLog) {
            report(pending, ChangeOutcome::Unknown);
            return true;
        }
        pending.isUncertain_ = false;
    }
    if (pending.isReported_) {
        return true;
    }
    start(pending, now);
    return pending.call_ == 0;
}

void RecordChanger::expire(Pending &pending, Now now)
{
    if (pending.isReported_ || !pending.change_.deadline_ || now.monotonic_ < *pending.change_.deadline_) {
        return;
    }
    const bool mayTakeEffect = pending.isUncertain_ || pending.call_ != 0;
    if (mayTakeEffect) {
        pending.isUncertain_ = true;
    }
    report(pending, mayTakeEffect ? ChangeOutcome::Unknown : ChangeOutcome::Unavailable);
}

void RecordChanger::finishHead(const RecordKey &key, Now now)
{
    const auto position = queues_.find(key);
    if (position == queues_.end()) {
        return;
    }
    std::deque<Pending> &queue = position->second;
    queue.pop_front();
    while (!queue.empty()) {
        if (!queue.front().isReported_) {
            start(queue.front(), now);
        }
        if (queue.front().call_ != 0) {
            return;
        }
        queue.pop_front();
    }
    queues_.erase(position);
}

} // namespace Goldcrestwall
