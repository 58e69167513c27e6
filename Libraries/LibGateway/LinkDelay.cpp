// Delays of pings, and what they say about the own link.
#include "LinkDelay.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

namespace {

// A difference of clocks that changes by more belongs to another machine at the same address: no message is under way for so long.
constexpr Duration MaxDelay = 30s;
// A peer that has not answered for this time says nothing about the link: it may have stopped.
constexpr Duration PeerTimeout = 1500ms;
// Answers to pings may follow each other so much later than the pings without having waited at the link.
constexpr Duration AnswerJitter = 50ms;

} // namespace

Duration RecentMinimum::add(Duration value, TimePoint now)
{
    if (!current_ || now - startedAt_ >= Period) {
        previous_ = current_;
        current_ = value;
        startedAt_ = now;
    }
    current_ = std::min(*current_, value);
    return previous_ ? std::min(*previous_, *current_) : *current_;
}

PeerDelay LinkDelay::record(const std::string &peer, TimePoint pingedAt, TimePoint answeredAt, TimePoint receivedAt)
{
    std::erase_if(peers_, [receivedAt](const auto &entry) {
        return receivedAt - entry.second.receivedAt_ > RecentMinimum::Period;
    });
    const Duration outgoing = answeredAt - pingedAt;
    const Duration incoming = receivedAt - answeredAt;
    auto &known = peers_[peer];
    const Duration change = outgoing - known.lastOutgoing_;
    if (known.receivedAt_ != TimePoint() && (change > MaxDelay || change < -MaxDelay)) {
        known = Peer();
    }
    known.lastOutgoing_ = outgoing;
    known.receivedAt_ = receivedAt;
    known.delay_ = {receivedAt - pingedAt, outgoing - known.outgoing_.add(outgoing, receivedAt), incoming - known.incoming_.add(incoming, receivedAt)};
    return known.delay_;
}

Duration LinkDelay::incomingQueue(TimePoint now) const
{
    std::optional<Duration> shortest;
    for (const auto &[name, peer] : peers_) {
        const Duration silence = now - peer.receivedAt_;
        if (silence > PeerTimeout) {
            continue;
        }
        // Answers follow each other at the rate of the pings unless the queue grows.
        const Duration growth = std::max(Duration::zero(), silence - PingInterval - AnswerJitter);
        const Duration queue = peer.delay_.incomingQueue_ + growth;
        shortest = shortest ? std::min(*shortest, queue) : queue;
    }
    return shortest.value_or(Duration::zero());
}

} // namespace Goldcrestwall::Gateway
