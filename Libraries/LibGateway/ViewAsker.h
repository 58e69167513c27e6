// Decides which peer is asked for its view, and when.
#pragma once

#include <LibGateway/ViewAnswerQueue.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// An instance that does not watch the store leaves the content of a new era to its peers for this time, as long as one of them has it.
inline constexpr Duration MaxEraRelayTime = 3s;

// A peer that may be asked.
struct ViewSource
{
    std::string address_;
    // The version of its view, as far as known.
    StoreVersion version_;
    bool isOwnDomain_ = false;
    // Bytes received of a message that is not complete yet.
    std::size_t receivedBytes_ = 0;

    auto operator<=>(const ViewSource &) const = default;
};

// This instance's own view.
struct OwnView
{
    StoreVersion version_;
    // Whether the store or a peer has confirmed lately that it is complete.
    bool isCurrent_ = false;
    // Whether this instance watches the store itself.
    bool isWatching_ = false;

    auto operator<=>(const OwnView &) const = default;
};

// How long this instance has been waiting for changes.
struct AskerTiming
{
    // Since a peer was found to have a newer view; zero if none has.
    Duration behindFor_ = Duration::zero();
    // Since the present request was sent; zero without one.
    Duration askedFor_ = Duration::zero();
    // From the request to when bytes of an answer were first seen; nothing if they have not been.
    std::optional<Duration> firstByteAfter_;

    auto operator<=>(const AskerTiming &) const = default;
};

// Asks one peer at a time, one that has a newer view. A peer that does not answer is passed over for a while, and the next one is chosen
// at random, so that many instances that start together do not all wait for the same peer.
class ViewAsker
{
public:
    explicit ViewAsker(std::uint64_t seed)
        : random_(seed)
    {
    }

    // Returns the address of the peer to ask now, if any. To be called often, with the peers that respond.
    std::optional<std::string> choose(const std::vector<ViewSource> &sources, const OwnView &own, TimePoint now);
    AskerTiming timing(TimePoint now) const;
    // Whether a peer had a newer view when a peer to ask was last chosen.
    bool isBehind() const
    {
        return behindSince_ != TimePoint();
    }
    // An answer has been received.
    void recordAnswer(const std::string &address);

private:
    struct Pending
    {
        std::string address_;
        TimePoint askedAt_;
        // When it was asked, or when the answer last progressed.
        TimePoint progressAt_;
        std::size_t receivedBytes_ = 0;
        std::optional<TimePoint> firstByteAt_ = std::nullopt;
    };

    void recordOwnView(const OwnView &own, bool isBehind, TimePoint now);
    bool isWaiting(const std::vector<ViewSource> &sources, TimePoint now);
    std::vector<ViewSource> candidates(const std::vector<ViewSource> &sources, const OwnView &own, TimePoint now) const;
    std::string pick(std::vector<ViewSource> candidates);
    Duration randomDuration(Duration longest);

    std::mt19937_64 random_;
    std::optional<Pending> pending_;
    // Peers that did not answer, and until when they are passed over.
    std::map<std::string, TimePoint> passedOver_;
    // Requests in succession that were not answered.
    std::uint32_t failures_ = 0;
    bool wasCurrent_ = true;
    TimePoint notBefore_;
    // Since when a peer is known to have a newer view.
    TimePoint behindSince_;
};

} // namespace Goldcrestwall::Gateway
