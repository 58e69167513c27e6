// Choice of the peer to ask, time-outs and back-off.
#include "ViewAsker.h"

namespace Goldcrestwall::Gateway {

namespace {

// The own failure domain's watcher gets this time to announce a change before instances of other failure domains are asked.
constexpr Duration OwnDomainDelay = 150ms;
// Instances whose views stop being current at the same time ask within this time.
constexpr Duration OutageSpread = 200ms;
// After a request without an answer, the next one follows within this time, which doubles with each further one.
constexpr Duration MinRetrySpread = 50ms;
constexpr std::uint32_t MaxRetryDoublings = 3;
// A peer that did not answer is passed over for this time while there are others.
constexpr Duration PassOverTime = 3s;

} // namespace

std::optional<std::string> ViewAsker::choose(const std::vector<ViewSource> &sources, const OwnView &own, TimePoint now)
{
    const bool isBehind = std::ranges::any_of(sources, [&own](const ViewSource &source) {
        return source.version_ > own.version_;
    });
    recordOwnView(own, isBehind, now);
    if (!isBehind) {
        pending_.reset();
        return std::nullopt;
    }
    if (isWaiting(sources, now) || now < notBefore_) {
        return std::nullopt;
    }
    const auto chosen = candidates(sources, own, now);
    if (chosen.empty()) {
        return std::nullopt;
    }
    const auto address = pick(chosen);
    const auto source = std::ranges::find(sources, address, &ViewSource::address_);
    pending_ = Pending{address, now, now, source->receivedBytes_};
    return address;
}

AskerTiming ViewAsker::timing(TimePoint now) const
{
    AskerTiming timing;
    timing.behindFor_ = behindSince_ == TimePoint() ? Duration::zero() : now - behindSince_;
    if (pending_) {
        timing.askedFor_ = now - pending_->askedAt_;
        timing.firstByteAfter_ = pending_->firstByteAt_ ? std::make_optional(*pending_->firstByteAt_ - pending_->askedAt_) : std::nullopt;
    }
    return timing;
}

void ViewAsker::recordAnswer(const std::string &address)
{
    if (pending_ && pending_->address_ == address) {
        pending_.reset();
    }
    passedOver_.erase(address);
    failures_ = 0;
    notBefore_ = TimePoint();
}

void ViewAsker::recordOwnView(const OwnView &own, bool isBehind, TimePoint now)
{
    if (wasCurrent_ && !own.isCurrent_) {
        notBefore_ = std::max(notBefore_, now + randomDuration(OutageSpread));
    }
    wasCurrent_ = own.isCurrent_;
    if (!isBehind) {
        behindSince_ = TimePoint();
    } else if (behindSince_ == TimePoint()) {
        behindSince_ = now;
    }
}

bool ViewAsker::isWaiting(const std::vector<ViewSource> &sources, TimePoint now)
{
    if (!pending_) {
        return false;
    }
    const auto source = std::ranges::find(sources, pending_->address_, &ViewSource::address_);
    if (source != sources.end()) {
        if (source->receivedBytes_ > pending_->receivedBytes_) {
            pending_->progressAt_ = now;
            pending_->firstByteAt_ = pending_->firstByteAt_.value_or(now);
        }
        pending_->receivedBytes_ = source->receivedBytes_;
        if (now - pending_->progressAt_ <= ViewAnswerTimeout) {
            return true;
        }
    }
    passedOver_[pending_->address_] = now + PassOverTime;
    notBefore_ = now + randomDuration(MinRetrySpread * (1U << std::min(failures_, MaxRetryDoublings)));
    ++failures_;
    pending_.reset();
    return false;
}

std::vector<ViewSource> ViewAsker::candidates(const std::vector<ViewSource> &sources, const OwnView &own, TimePoint now) const
{
    std::vector<ViewSource> newer;
    std::vector<ViewSource> reliable;
    const bool isEarly = own.isCurrent_ && now - behindSince_ < OwnDomainDelay;
    for (const auto &source : sources) {
        // An own watch reports the change at the same time.
        if (source.version_ <= own.version_ || (isEarly && (own.isWatching_ || !source.isOwnDomain_))) {
            continue;
        }
        newer.push_back(source);
        const auto passedOver = passedOver_.find(source.address_);
        if (passedOver == passedOver_.end() || now >= passedOver->second) {
            reliable.push_back(source);
        }
    }
    return reliable.empty() ? newer : reliable;
}

std::string ViewAsker::pick(std::vector<ViewSource> candidates)
{
    if (failures_ == 0) {
        const auto isBetter = [](const ViewSource &a, const ViewSource &b) {
            return std::pair(a.isOwnDomain_, a.version_) < std::pair(b.isOwnDomain_, b.version_);
        };
        const ViewSource best = *std::ranges::max_element(candidates, isBetter);
        std::erase_if(candidates, [&](const ViewSource &candidate) {
            return isBetter(candidate, best);
        });
    }
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    return candidates[index(random_)].address_;
}

Duration ViewAsker::randomDuration(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(random_));
}

} // namespace Goldcrestwall::Gateway
