// Request identifiers (UUID version 7) and the request history of one server.
#include <LibAdmission/SeenRequests.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <limits>

namespace Goldcrestwall {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::array<std::size_t, 4> DashPositions{8, 13, 18, 23};
constexpr std::size_t VersionPosition = 14;
constexpr std::size_t VariantPosition = 19;

bool isUuid(const std::string &text)
{
    if (text.size() != UuidLength) {
        return false;
    }
    for (std::size_t position = 0; position < UuidLength; ++position) {
        const bool isDash = std::find(DashPositions.begin(), DashPositions.end(), position) != DashPositions.end();
        const bool isValid = isDash ? text[position] == '-' : std::isxdigit(static_cast<unsigned char>(text[position])) != 0;
        if (!isValid) {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<UnixMilliseconds> timeOfRequestId(const RequestId &id)
{
    const std::string &text = id.value_;
    if (!isUuid(text) || text[VersionPosition] != '7' || std::string_view("89abAB").find(text[VariantPosition]) == std::string_view::npos) {
        return std::nullopt;
    }
    return static_cast<UnixMilliseconds>(std::stoull(text.substr(0, 8) + text.substr(9, 4), nullptr, 16));
}

RequestId makeRequestId(UnixMilliseconds time, std::uint64_t random)
{
    std::array<char, UuidLength + 1> text{};
    const auto milliseconds = static_cast<std::uint64_t>(time);
    std::snprintf(text.data(),
                  text.size(),
                  "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                  static_cast<unsigned long long>((milliseconds >> 16) & 0xFFFFFFFFULL),
                  static_cast<unsigned long long>(milliseconds & 0xFFFFULL),
                  static_cast<unsigned long long>(random & 0xFFFULL),
                  static_cast<unsigned long long>((random >> 12) & 0xFFFULL),
                  static_cast<unsigned long long>((random >> 16) & 0xFFFFFFFFFFFFULL));
    return RequestId(text.data());
}

void SeenRequests::setKnownSince(const KeyRange &range, UnixMilliseconds now)
{
    knownSince_[range] = now;
    historyLimits_.erase(range);
}

void SeenRequests::restart(const KeyRange &range, UnixMilliseconds now)
{
    limitHistory(range, knownSince(range));
    knownSince_[range] = now;
}

void SeenRequests::limitHistory(const KeyRange &range, UnixMilliseconds since)
{
    UnixMilliseconds &limit = historyLimits_[range];
    limit = std::max(limit, since);
}

UnixMilliseconds SeenRequests::knownSince(const KeyRange &range) const
{
    const auto position = knownSince_.find(range);
    if (position == knownSince_.end()) {
        return std::numeric_limits<UnixMilliseconds>::max();
    }
    const auto limit = historyLimits_.find(range);
    return std::max({forgottenBefore_, position->second, limit == historyLimits_.end() ? 0 : limit->second});
}

DuplicateCheck SeenRequests::check(const RequestId &id, const KeyRange &range, UnixMilliseconds now) const
{
    const auto seen = seen_.find(id);
    if (seen != seen_.end()) {
        return seen->second.isCompleted_ ? DuplicateCheck::Completed : DuplicateCheck::Duplicate;
    }
    const auto createdAt = timeOfRequestId(id);
    if (!createdAt || !knownSince_.contains(range)) {
        return DuplicateCheck::PossibleDuplicate;
    }
    if (*createdAt > now + settings_.clockSkew_) {
        return DuplicateCheck::FromFuture;
    }
    // A caller's clock may be ahead, so an identifier that looks slightly newer than the start of the history may be older. The margin is
    // twice the clock skew because both this instance's and the previous dispatcher's clock may differ from the caller's.
    const bool isCovered = *createdAt - 2 * settings_.clockSkew_ > knownSince(range) && *createdAt > now - settings_.retention_;
    return isCovered ? DuplicateCheck::Fresh : DuplicateCheck::PossibleDuplicate;
}

void SeenRequests::insert(const RequestId &id, const KeyRange &range, UnixMilliseconds now)
{
    if (!seen_.emplace(id, SeenRequest{range, false}).second) {
        return;
    }
    order_.push_back({id, now});
    while (seen_.size() > settings_.capacity_ && !order_.empty()) {
        // A repeat of an evicted request is no longer recognized, so no identifier created before its insertion counts as fresh.
        forgottenBefore_ = std::max(forgottenBefore_, order_.front().time_);
        seen_.erase(order_.front().id_);
        order_.pop_front();
    }
}

void SeenRequests::setCompleted(const RequestId &id)
{
    const auto seen = seen_.find(id);
    if (seen != seen_.end()) {
        seen->second.isCompleted_ = true;
    }
}

void SeenRequests::erase(const RequestId &id)
{
    seen_.erase(id);
}

void SeenRequests::expire(UnixMilliseconds now)
{
    // Creation times may be ahead of the insertion by the clock skew, so requests stay for longer than the retention.
    while (!order_.empty() && order_.front().time_ < now - settings_.retention_ - 2 * settings_.clockSkew_) {
        seen_.erase(order_.front().id_);
        order_.pop_front();
    }
}

std::vector<RequestId> SeenRequests::requestsOf(const KeyRange &range) const
{
    std::vector<RequestId> requests;
    for (const auto &[id, seen] : seen_) {
        if (seen.range_ == range) {
            requests.push_back(id);
        }
    }
    return requests;
}

void SeenRequests::inherit(const KeyRange &range, UnixMilliseconds since, const std::vector<RequestId> &requests, UnixMilliseconds now)
{
    for (const RequestId &id : requests) {
        insert(id, range, now);
    }
    knownSince_[range] = since;
}

} // namespace Goldcrestwall
