// Server gate: slots, queue and the expiry of requests with unknown outcome.
#include <LibAdmission/ServerGate.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

constexpr double ServiceTimeSmoothing = 0.1;
// A server's clock may be behind, so it may execute a request for somewhat longer than the deadline allows.
constexpr Duration ExecutionMargin = 50ms;

} // namespace

ServerGate::ServerGate(GateLimits limits, TimePoint now)
    : limits_(limits)
    , coldStart_(limits.coldStart_, now)
    , queue_(limits.queueLength_)
{
}

void ServerGate::setLimits(const GateLimits &limits, TimePoint now)
{
    if (limits == limits_) {
        return;
    }
    const bool hasNewSlots = limits.coldStart_ != limits_.coldStart_;
    limits_ = limits;
    queue_.setCapacity(limits.queueLength_);
    if (hasNewSlots) {
        coldStart_ = ColdStartLimiter(limits.coldStart_, now);
    }
}

GateDecision ServerGate::offer(const GateRequest &request, TimePoint now)
{
    releaseExpired(now);
    // 1. Reject a request whose deadline has passed.
    if (request.deadline_ <= now) {
        return {GateDecision::Kind::Rejected, 0, RouterError::DeadlineExceeded};
    }
    const Ticket ticket = ++lastTicket_;
    // 2. Run at once if a slot is free and the queue is empty.
    if (queue_.size() == 0 && hasFreeSlot(now)) {
        start(ticket, request.range_, request.deadline_, now);
        return {GateDecision::Kind::Run, ticket, {}};
    }
    const TimePoint expiresAt = std::min(request.deadline_, now + limits_.queueTime_);
    if (now + expectedWait() >= request.deadline_) {
        return {GateDecision::Kind::Rejected, 0, RouterError::DeadlineUnreachable};
    }
    // 3. Queue the request, if necessary in place of a request of a customer that holds more than its share.
    if (queue_.isFull()) {
        const auto evicted = queue_.evictFor(request.customer_, request.share_);
        if (!evicted) {
            return {GateDecision::Kind::Rejected, 0, RouterError::QueueFull};
        }
        waiting_.erase(evicted->ticket_);
        evicted_.push_back(evicted->ticket_);
    }
    queue_.push({ticket, request.customer_, request.share_, request.priority_, now, expiresAt});
    waiting_.emplace(ticket, Waiting{request.range_, request.deadline_});
    return {GateDecision::Kind::Queued, ticket, {}};
}

bool ServerGate::finish(Ticket ticket, SlotOutcome outcome, TimePoint now)
{
    const auto running = running_.find(ticket);
    if (running == running_.end() || running->second.isUnresolved_) {
        return false;
    }
    if (outcome == SlotOutcome::Unresolved) {
        running->second.isUnresolved_ = true;
        return true;
    }
    const Duration latency = now - running->second.startedAt_;
    if (outcome == SlotOutcome::Succeeded) {
        const auto microseconds = static_cast<double>(latency.count());
        serviceMicroseconds_ += (serviceMicroseconds_ > 0 ? ServiceTimeSmoothing : 1) * (microseconds - serviceMicroseconds_);
        coldStart_.recordSuccess(latency, now);
    }
    if (outcome == SlotOutcome::Shed) {
        coldStart_.recordShed(now);
    }
    running_.erase(running);
    return true;
}

bool ServerGate::withdraw(Ticket ticket)
{
    waiting_.erase(ticket);
    return queue_.remove(ticket);
}

GateEvents ServerGate::takeEvents(TimePoint now)
{
    GateEvents events;
    releaseExpired(now);
    events.evicted_.swap(evicted_);
    for (const QueuedRequest &request : queue_.takeExpired(now)) {
        waiting_.erase(request.ticket_);
        events.expired_.push_back(request.ticket_);
    }
    while (hasFreeSlot(now)) {
        const auto next = queue_.pop(now, serviceTime());
        if (!next) {
            break;
        }
        const Waiting waiting = waiting_.at(next->ticket_);
        waiting_.erase(next->ticket_);
        start(next->ticket_, waiting.range_, waiting.deadline_, now);
        events.ready_.push_back(next->ticket_);
    }
    return events;
}

void ServerGate::assumeUnknownWork(TimePoint now, TimePoint until)
{
    unknownWorkUntil_ = std::max(unknownWorkUntil_, until + ExecutionMargin);
    coldStart_.setCold(now);
}

bool ServerGate::isDrained(const std::optional<KeyRange> &range, TimePoint now) const
{
    if (now < unknownWorkUntil_) {
        return false;
    }
    return std::none_of(running_.begin(), running_.end(), [&](const auto &entry) {
        const Running &running = entry.second;
        const bool isExpired = running.isUnresolved_ && running.executionDeadline_ <= now;
        return !isExpired && (!range || running.range_ == range);
    });
}

Duration ServerGate::serviceTime() const
{
    return Duration(static_cast<Duration::rep>(serviceMicroseconds_));
}

void ServerGate::start(Ticket ticket, const std::optional<KeyRange> &range, TimePoint deadline, TimePoint now)
{
    running_.emplace(ticket, Running{range, now, std::min(deadline, now + limits_.maxExecution_) + ExecutionMargin, false});
}

void ServerGate::releaseExpired(TimePoint now)
{
    std::erase_if(running_, [&](const auto &running) {
        return running.second.isUnresolved_ && running.second.executionDeadline_ <= now;
    });
}

bool ServerGate::hasFreeSlot(TimePoint now) const
{
    if (now < unknownWorkUntil_) {
        // Requests of the previous dispatcher may occupy all slots.
        return false;
    }
    return running_.size() < coldStart_.limit();
}

Duration ServerGate::expectedWait() const
{
    const auto ahead = static_cast<Duration::rep>(queue_.size() + 1);
    return serviceTime() * ahead / static_cast<Duration::rep>(std::max<std::uint32_t>(1, coldStart_.limit()));
}

} // namespace Goldcrestwall
