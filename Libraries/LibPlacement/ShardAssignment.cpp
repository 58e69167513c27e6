// Encoding and look-up of shard assignments.
#include "ShardAssignment.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace Goldcrestwall::Gateway {

using Json = nlohmann::json;

namespace {

// A record that states a longer time is invalid.
constexpr std::uint64_t MaxStopWithinMs = 3'600'000;

// Reads a whole number from 0 to `maximum`; throws if the value is none.
std::uint64_t readNumber(const Json &value, std::uint64_t maximum)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum) {
        throw std::out_of_range("not a number in the range of the field");
    }
    return value.get<std::uint64_t>();
}

ShardKey readKey(const Json &value)
{
    return static_cast<ShardKey>(readNumber(value, ShardKeyCount - 1));
}

FencingToken readToken(const Json &value)
{
    return readNumber(value, std::numeric_limits<FencingToken>::max());
}

Json encodeHolder(const ShardHolder &holder)
{
    return Json::array({holder.server_, holder.startTime_, holder.token_});
}

ShardHolder decodeHolder(const Json &value)
{
    const auto startTime = readNumber(value.at(1), std::numeric_limits<UnixMilliseconds>::max());
    return {value.at(0).get<std::string>(), static_cast<UnixMilliseconds>(startTime), readToken(value.at(2))};
}

ShardRange decodeRange(const Json &value)
{
    ShardRange range;
    range.first_ = readKey(value.at("first"));
    range.last_ = readKey(value.at("last"));
    range.holder_ = decodeHolder(value.at("holder"));
    for (const auto &previous : value.at("previous")) {
        range.previous_.push_back(decodeHolder(previous));
    }
    return range;
}

Json encodeGranter(const GranterRecord &granter)
{
    return Json{{"instance", granter.instance_},
                {"standbys", granter.standbys_},
                {"earlierStopWithinMs", std::chrono::ceil<std::chrono::milliseconds>(granter.earlierGrantersStopWithin_).count()},
                {"holdersUnknownWithinMs", std::chrono::ceil<std::chrono::milliseconds>(granter.holdersUnknownWithin_).count()}};
}

GranterRecord decodeGranter(const Json &value)
{
    GranterRecord granter;
    value.at("instance").get_to(granter.instance_);
    value.at("standbys").get_to(granter.standbys_);
    granter.earlierGrantersStopWithin_ = std::chrono::milliseconds(readNumber(value.at("earlierStopWithinMs"), MaxStopWithinMs));
    if (const auto unknown = value.find("holdersUnknownWithinMs"); unknown != value.end()) {
        granter.holdersUnknownWithin_ = std::chrono::milliseconds(readNumber(*unknown, MaxStopWithinMs));
    }
    return granter;
}

FencingToken highestToken(const ShardAssignment &assignment)
{
    FencingToken highest = 0;
    for (const auto &range : assignment.ranges_) {
        highest = std::max(highest, range.holder_.token_);
        for (const auto &previous : range.previous_) {
            highest = std::max(highest, previous.token_);
        }
    }
    return highest;
}

} // namespace

const ShardRange *ShardAssignment::rangeOf(ShardKey key) const
{
    const auto after = std::ranges::upper_bound(ranges_, key, {}, &ShardRange::first_);
    if (after == ranges_.begin()) {
        return nullptr;
    }
    const auto &range = *std::prev(after);
    return range.contains(key) ? &range : nullptr;
}

bool ShardAssignment::isComplete() const
{
    std::uint32_t next = 0;
    for (const auto &range : ranges_) {
        if (range.first_ != next || range.last_ < range.first_) {
            return false;
        }
        next = std::uint32_t(range.last_) + 1;
    }
    return next == ShardKeyCount;
}

std::string encodeAssignment(const ShardAssignment &assignment)
{
    Json ranges = Json::array();
    for (const auto &range : assignment.ranges_) {
        Json previous = Json::array();
        for (const auto &holder : range.previous_) {
            previous.push_back(encodeHolder(holder));
        }
        ranges.push_back(Json{{"first", range.first_}, {"last", range.last_}, {"holder", encodeHolder(range.holder_)}, {"previous", std::move(previous)}});
    }
    return Json{{"nextToken", assignment.nextToken_}, {"era", assignment.era_}, {"granter", encodeGranter(assignment.granter_)}, {"ranges", std::move(ranges)}}
        .dump();
}

std::optional<ShardAssignment> decodeAssignment(const std::string &text)
{
    try {
        const auto document = Json::parse(text);
        ShardAssignment assignment;
        assignment.nextToken_ = readToken(document.at("nextToken"));
        // Assignments of earlier versions name no era, which is the lowest, and maybe no granter. Their successors wait as for a granter without standbys.
        if (const auto era = document.find("era"); era != document.end()) {
            assignment.era_ = readNumber(*era, std::numeric_limits<StoreEra>::max());
        }
        if (const auto granter = document.find("granter"); granter != document.end()) {
            assignment.granter_ = decodeGranter(*granter);
        }
        for (const auto &range : document.at("ranges")) {
            assignment.ranges_.push_back(decodeRange(range));
        }
        const bool isUsable = assignment.isComplete() && highestToken(assignment) < assignment.nextToken_;
        return isUsable ? std::make_optional(std::move(assignment)) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Goldcrestwall::Gateway
