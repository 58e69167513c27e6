// Decides which requests for the view are answered, and when.
#pragma once

#include <platform/Platform.h>

#include <LibBase/LibBase.h>

#include <algorithm>
#include <concepts>
#include <deque>
#include <map>
#include <vector>

namespace Goldcrestwall::Gateway {

// How long an instance waits for an answer that does not progress before it asks another peer. A request that has waited longer is not
// answered any more.
constexpr Duration ViewAnswerTimeout = 600ms;
// Answers up to this size in bytes do not wait for their turn.
constexpr std::size_t SmallViewAnswer = 4096;

// The requests that wait for their turn, and the answers on their way. At most one answer is on its way on each link, and the answers
// on all links together are bounded, so that neither memory nor the instance's bandwidth is used up when many instances ask at once.
template<std::totally_ordered Link>
class ViewAnswerQueue
{
public:
    // A request to be answered now.
    struct Turn
    {
        Link link_;
        StoreVersion version_;
    };

    // Answers on their way stay below `maxBytes` together, except that two are always allowed: one slow peer does not hold up the others.
    explicit ViewAnswerQueue(std::size_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    // A peer whose view is at `version` asks for the changes. Its newest request counts; it keeps its place in the order of turns.
    void request(const Link &link, StoreVersion version, TimePoint now)
    {
        const auto known = std::ranges::find(waiting_, link, &Waiting::link_);
        if (known != waiting_.end()) {
            known->version_ = version;
            known->askedAt_ = now;
        } else {
            waiting_.push_back({link, version, now});
        }
    }

    // The link has ended.
    void remove(const Link &link)
    {
        recordSent(link);
        std::erase_if(waiting_, [&link](const Waiting &waiting) {
            return waiting.link_ == link;
        });
    }

    // The answer on its way on the link has reached the peer.
    void recordSent(const Link &link)
    {
        if (const auto found = underWay_.find(link); found != underWay_.end()) {
            bytesUnderWay_ -= found->second;
            largeUnderWay_ -= found->second > SmallViewAnswer ? 1 : 0;
            underWay_.erase(found);
        }
    }

    // Returns the requests to be answered now, whose answers are on their way from then on. `sizeOf` returns the size in bytes of the
    // answer to a request with a version.
    template<std::invocable<StoreVersion> SizeOf>
    std::vector<Turn> takeDue(const SizeOf &sizeOf, TimePoint now)
    {
        std::vector<Turn> due;
        std::map<StoreVersion, std::size_t> sizes;
        std::deque<Waiting> waiting;
        bool isFull = false;
        for (auto &request : waiting_) {
            if (now - request.askedAt_ > ViewAnswerTimeout) {
                continue;
            }
            if (underWay_.contains(request.link_)) {
                waiting.push_back(std::move(request));
                continue;
            }
            auto size = sizes.find(request.version_);
            if (size == sizes.end()) {
                size = sizes.emplace(request.version_, sizeOf(request.version_)).first;
            }
            const bool isLarge = size->second > SmallViewAnswer;
            // A large answer that does not fit holds up those behind it, so that it gets its turn.
            isFull = isFull || (isLarge && largeUnderWay_ >= MinUnderWay && bytesUnderWay_ + size->second > maxBytes_);
            if (isLarge && isFull) {
                waiting.push_back(std::move(request));
                continue;
            }
            bytesUnderWay_ += size->second;
            largeUnderWay_ += isLarge ? 1 : 0;
            underWay_.emplace(request.link_, size->second);
            due.push_back({std::move(request.link_), request.version_});
        }
        waiting_ = std::move(waiting);
        return due;
    }

    std::size_t waitingCount() const
    {
        return waiting_.size();
    }
    std::size_t underWayCount() const
    {
        return underWay_.size();
    }

private:
    struct Waiting
    {
        Link link_;
        StoreVersion version_;
        TimePoint askedAt_;
    };

    static constexpr std::size_t MinUnderWay = 2;

    std::size_t maxBytes_;
    std::deque<Waiting> waiting_;
    // The size of the answer on its way on each link.
    std::map<Link, std::size_t> underWay_;
    std::size_t bytesUnderWay_ = 0;
    std::size_t largeUnderWay_ = 0;
};

} // namespace Goldcrestwall::Gateway
