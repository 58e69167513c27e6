// How long messages wait at this machine's network link.
#pragma once

#include <LibBase/LibBase.h>

#include <map>
#include <optional>
#include <string>

namespace Goldcrestwall::Gateway {

// How often an instance pings each of its peers.
constexpr Duration PingInterval = 400ms;

// The delays of one ping and its answer. What a message has waited in queues is its one-way time less the shortest one seen lately, so that
// the clocks of the two instances need not agree.
struct PeerDelay
{
    // From sending the ping to receiving the answer.
    Duration roundTrip_ = Duration::zero();
    // What the ping has waited on its way to the peer.
    Duration outgoingQueue_ = Duration::zero();
    // What the answer has waited on its way back.
    Duration incomingQueue_ = Duration::zero();

    auto operator<=>(const PeerDelay &) const = default;
};

// The smallest of the values added lately.
class RecentMinimum
{
public:
    // A value is forgotten after one to two of these, so that clocks may drift apart.
    static constexpr Duration Period = 60s;

    // Adds a value and returns the minimum.
    Duration add(Duration value, TimePoint now);

private:
    std::optional<Duration> previous_;
    std::optional<Duration> current_;
    TimePoint startedAt_;
};

// Measures the delays between this instance and its peers by the times of pings and their answers, and estimates from them how long a
// message for this instance waits at the machine's own link. All peers' messages pass that link, so the shortest of their delays is
// the best estimate: a longer one may have arisen at the peer.
class LinkDelay
{
public:
    // Records the answer to a ping. `answeredAt` is by the peer's clock, the other times are by the own one. Returns its delays.
    PeerDelay record(const std::string &peer, TimePoint pingedAt, TimePoint answeredAt, TimePoint receivedAt);

    // How long a message that arrives now has probably waited at the own link. Zero if no peer has answered lately.
    Duration incomingQueue(TimePoint now) const;

private:
    struct Peer
    {
        RecentMinimum outgoing_;
        RecentMinimum incoming_;
        // Differences of the two clocks, with the time on the way.
        Duration lastOutgoing_ = Duration::zero();
        PeerDelay delay_;
        TimePoint receivedAt_;
    };

    std::map<std::string, Peer> peers_;
};

} // namespace Goldcrestwall::Gateway
