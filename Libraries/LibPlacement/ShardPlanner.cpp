// Plans the assignment of keys to servers.
#include "ShardPlanner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace Goldcrestwall::Gateway {

namespace {

// A move is worth its cost only above these utilizations and differences, in busy slots per slot. Below `MinBusiestUtilization` requests hardly
// ever wait for the server, regardless of the others.
constexpr double MinBusiestUtilization = 0.45;
constexpr double MinUtilizationDifference = 0.15;
constexpr double MinRelativeDifference = 0.3;
// Fraction of the difference by which a single move must lower the highest utilization. A difference above the limit counts as the limit, so
// that the other keys of an overloaded server are moved away although each move gains little.
constexpr double MinGainFraction = 0.04;
constexpr double MaxDifferenceForGain = 1;
constexpr int MaxMovesAtOnce = 6;
constexpr std::size_t MaxRangesPerServer = 12;
// Above 1 so that a slow server gets less than its proportional share of the keys initially, while their load is unknown: requests take
// longer there even without queueing.
constexpr double InitialSlownessExponent = 1.5;
// Minimum load moved to a server that holds no keys, as a fraction of the mean load.
constexpr double MinInitialLoadFraction = 0.1;
// Factor by which load counts more on a cold server, which can serve little.
constexpr double ColdSlowness = 3;
// Small load of keys without traffic, so that idle ranges are spread evenly too.
constexpr double IdleLoadPerKey = 1e-7;

// Utilization of one server during planning.
struct PlannedServer
{
    const ServerLoadView *view_ = nullptr;
    double utilization_ = 0;
    // False if no move lowers its utilization enough, such as for the holder of a key that needs more than all its slots.
    bool canBeRelieved_ = true;

    double costOf(double load) const
    {
        const double cost = load * view_->slowness_ * (view_->isCold_ ? ColdSlowness : 1) / view_->slots_;
        return view_->limitedSlots_ ? std::max(cost, load / *view_->limitedSlots_) : cost;
    }
};

// Capacity of a server in slots of an average server.
double capacityOf(const ServerLoadView &view)
{
    return view.slots_ / std::pow(view.slowness_, InitialSlownessExponent);
}

double rangeLoad(const KeyLoad &load, ShardKey first, ShardKey last, TimePoint now)
{
    return load.load(first, last, now) + IdleLoadPerKey * (last - first + 1);
}

std::vector<PlannedServer> measureUtilization(const ShardAssignment &assignment, const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now)
{
    std::vector<PlannedServer> planned;
    for (const auto &view : servers) {
        if (!view.isEligible_) {
            continue;
        }
        PlannedServer server{&view, 0};
        for (const auto &range : assignment.ranges_) {
            if (range.holder_.server_ == view.id_) {
                server.utilization_ += server.costOf(rangeLoad(load, range.first_, range.last_, now));
            }
        }
        planned.push_back(server);
    }
    return planned;
}

void moveRange(ShardRange &range, const ServerLoadView &target, FencingToken &nextToken)
{
    range.previous_.push_back(range.holder_);
    range.holder_ = {target.id_, target.startTime_, nextToken++};
}

bool mayHold(const ShardHolder &holder, const std::vector<ServerLoadView> &servers)
{
    return std::ranges::any_of(servers, [&holder](const ServerLoadView &view) {
        return view.isEligible_ && view.id_ == holder.server_ && view.startTime_ == holder.startTime_;
    });
}

// Part of a range that may be moved to another server.
struct RangeMove
{
    std::size_t range_ = 0;
    ShardKey first_ = 0;
    ShardKey last_ = 0;
    double load_ = 0;
    // Higher utilization of the two servers after the move.
    double peakUtilization_ = 0;
};

// Returns the part with a load of at least `minMoved` whose move gives the lowest peak utilization, or nothing.
std::optional<RangeMove>
findMove(const ShardAssignment &assignment, const PlannedServer &from, const PlannedServer &to, double minMoved, const KeyLoad &load, TimePoint now)
{
    std::optional<RangeMove> best;
    for (std::size_t index = 0; index < assignment.ranges_.size(); ++index) {
        const auto &range = assignment.ranges_[index];
        if (range.holder_.server_ != from.view_->id_ || !range.previous_.empty()) {
            continue;
        }
        const auto consider = [&](ShardKey first, ShardKey last, double moved) {
            if (moved < minMoved) {
                return;
            }
            const double peak = std::max(from.utilization_ - from.costOf(moved), to.utilization_ + to.costOf(moved));
            if (!best || peak < best->peakUtilization_) {
                best = RangeMove{index, first, last, moved, peak};
            }
        };
        std::vector<std::pair<std::uint32_t, double>> pieces;
        for (std::uint32_t first = range.first_; first <= range.last_;) {
            const std::uint32_t last = std::min<std::uint32_t>(range.last_, (first / KeyLoad::KeysPerGroup + 1) * KeyLoad::KeysPerGroup - 1);
            const double part = double(last - first + 1) / KeyLoad::KeysPerGroup;
            pieces.emplace_back(first, rangeLoad(load, static_cast<ShardKey>(first), static_cast<ShardKey>(last), now) * part);
            first = last + 1;
        }
        double fromStart = 0;
        for (std::size_t i = 0; i < pieces.size(); ++i) {
            fromStart += pieces[i].second;
            consider(range.first_, i + 1 < pieces.size() ? static_cast<ShardKey>(pieces[i + 1].first - 1) : range.last_, fromStart);
        }
        double fromEnd = 0;
        for (std::size_t i = pieces.size(); i-- > 1;) {
            fromEnd += pieces[i].second;
            consider(static_cast<ShardKey>(pieces[i].first), range.last_, fromEnd);
        }
    }
    return best;
}

void applyMove(ShardAssignment &assignment, const RangeMove &rangeMove, const ServerLoadView &target)
{
    ShardRange whole = assignment.ranges_[rangeMove.range_];
    std::vector<ShardRange> parts;
    if (rangeMove.first_ > whole.first_) {
        parts.push_back({whole.first_, static_cast<ShardKey>(rangeMove.first_ - 1), whole.holder_, whole.previous_});
    }
    ShardRange moved{rangeMove.first_, rangeMove.last_, whole.holder_, whole.previous_};
    moveRange(moved, target, assignment.nextToken_);
    parts.push_back(std::move(moved));
    if (rangeMove.last_ < whole.last_) {
        parts.push_back({static_cast<ShardKey>(rangeMove.last_ + 1), whole.last_, whole.holder_, whole.previous_});
    }
    const auto position = assignment.ranges_.begin() + static_cast<std::ptrdiff_t>(rangeMove.range_);
    assignment.ranges_.insert(assignment.ranges_.erase(position), parts.begin(), parts.end());
}

} // namespace

ShardAssignment renewTokens(const ShardAssignment &assignment)
{
    ShardAssignment renewed;
    renewed.nextToken_ = assignment.nextToken_;
    for (const auto &range : assignment.ranges_) {
        const bool isJoined = !renewed.ranges_.empty() && renewed.ranges_.back().holder_.server_ == range.holder_.server_
            && renewed.ranges_.back().holder_.startTime_ == range.holder_.startTime_ && renewed.ranges_.back().previous_.empty() && range.previous_.empty();
        if (isJoined) {
            renewed.ranges_.back().last_ = range.last_;
            continue;
        }
        renewed.ranges_.push_back(range);
    }
    for (auto &range : renewed.ranges_) {
        range.holder_.token_ = renewed.nextToken_++;
    }
    return renewed;
}

ShardAssignment planInitialAssignment(const std::vector<ServerLoadView> &servers, FencingToken firstToken)
{
    ShardAssignment assignment;
    assignment.nextToken_ = firstToken;
    double capacity = 0;
    std::vector<const ServerLoadView *> eligible;
    for (const auto &view : servers) {
        if (view.isEligible_) {
            eligible.push_back(&view);
            capacity += capacityOf(view);
        }
    }
    double before = 0;
    std::uint32_t first = 0;
    for (const auto *view : eligible) {
        before += capacityOf(*view);
        const bool isLast = view == eligible.back();
        const auto next = isLast ? ShardKeyCount : static_cast<std::uint32_t>(before / capacity * ShardKeyCount);
        if (next > first) {
            assignment.ranges_.push_back(
                {static_cast<ShardKey>(first), static_cast<ShardKey>(next - 1), {view->id_, view->startTime_, assignment.nextToken_++}, {}});
            first = next;
        }
    }
    return assignment;
}

ShardAssignment planEvictions(ShardAssignment assignment, const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now)
{
    auto planned = measureUtilization(assignment, servers, load, now);
    if (planned.empty()) {
        return assignment;
    }
    for (auto &range : assignment.ranges_) {
        if (mayHold(range.holder_, servers)) {
            continue;
        }
        const auto sameServer = std::ranges::find_if(planned, [&range](const PlannedServer &server) {
            return server.view_->id_ == range.holder_.server_;
        });
        if (sameServer != planned.end()) {
            // The server was restarted and holds no keys: its earlier process has ended.
            range.holder_ = {sameServer->view_->id_, sameServer->view_->startTime_, assignment.nextToken_++};
            continue;
        }
        const auto target = std::ranges::min_element(planned, {}, &PlannedServer::utilization_);
        target->utilization_ += target->costOf(rangeLoad(load, range.first_, range.last_, now));
        moveRange(range, *target->view_, assignment.nextToken_);
    }
    return assignment;
}

ShardAssignment planBalance(ShardAssignment assignment, const std::vector<ServerLoadView> &servers, const KeyLoad &load, TimePoint now)
{
    auto planned = measureUtilization(assignment, servers, load, now);
    const double minMoved = planned.empty() ? 0 : MinInitialLoadFraction * rangeLoad(load, 0, ShardKeyCount - 1, now) / static_cast<double>(planned.size());
    for (int moves = 0; moves < MaxMovesAtOnce && planned.size() > 1;) {
        const auto busiest = std::ranges::max_element(planned, {}, [](const PlannedServer &server) {
            return std::make_pair(server.canBeRelieved_, server.utilization_);
        });
        const auto leastBusy = std::ranges::min_element(planned, {}, &PlannedServer::utilization_);
        const double difference = busiest->utilization_ - leastBusy->utilization_;
        const bool holdsNoKeys = std::ranges::none_of(assignment.ranges_, [&leastBusy](const ShardRange &range) {
            return range.holder_.server_ == leastBusy->view_->id_;
        });
        const bool isWorthIt = busiest->utilization_ > MinBusiestUtilization && difference > MinUtilizationDifference
            && difference > MinRelativeDifference * busiest->utilization_;
        if (!busiest->canBeRelieved_ || (!isWorthIt && !holdsNoKeys) || assignment.ranges_.size() >= MaxRangesPerServer * planned.size()) {
            break;
        }
        // A hot group of keys is best held by a fast server, even if that is not the least busy one.
        const auto fastest = std::ranges::min_element(planned, {}, [](const PlannedServer &server) {
            return server.costOf(1);
        });
        auto target = leastBusy;
        // A server that holds no keys gets keys that have traffic.
        auto rangeMove = findMove(assignment, *busiest, *leastBusy, holdsNoKeys ? minMoved : 0, load, now);
        if (!holdsNoKeys && fastest != busiest && fastest != leastBusy) {
            const auto other = findMove(assignment, *busiest, *fastest, 0, load, now);
            if (other && (!rangeMove || other->peakUtilization_ < rangeMove->peakUtilization_)) {
                rangeMove = other;
                target = fastest;
            }
        }
        const double minGain = MinGainFraction * std::min(difference, MaxDifferenceForGain);
        if (!rangeMove || (!holdsNoKeys && rangeMove->peakUtilization_ > busiest->utilization_ - minGain)) {
            busiest->canBeRelieved_ = false;
            continue;
        }
        busiest->utilization_ -= busiest->costOf(rangeMove->load_);
        target->utilization_ += target->costOf(rangeMove->load_);
        applyMove(assignment, *rangeMove, *target->view_);
        ++moves;
    }
    return assignment;
}

} // namespace Goldcrestwall::Gateway
