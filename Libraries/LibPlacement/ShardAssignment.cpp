// Encoding and look-up of shard assignments.
#include "ShardAssignment.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Goldcrestwall::Gateway {

using Json = nlohmann::json;

namespace {

Json encodeHolder(const ShardHolder &holder)
{
    return Json::array({holder.server_, holder.startTime_, holder.token_});
}

ShardHolder decodeHolder(const Json &value)
{
    return {value.at(0).get<std::string>(), value.at(1).get<UnixMilliseconds>(), value.at(2).get<FencingToken>()};
}

ShardRange decodeRange(const Json &value)
{
    ShardRange range;
    range.first_ = value.at("first").get<ShardKey>();
    range.last_ = value.at("last").get<ShardKey>();
    range.holder_ = decodeHolder(value.at("holder"));
    for (const auto &previous : value.at("previous")) {
        range.previous_.push_back(decodeHolder(previous));
    }
    return range;
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
    return Json{{"nextToken", assignment.nextToken_}, {"ranges", std::move(ranges)}}.dump();
}

std::optional<ShardAssignment> decodeAssignment(const std::string &text)
{
    try {
        const auto document = Json::parse(text);
        ShardAssignment assignment;
        assignment.nextToken_ = document.at("nextToken").get<FencingToken>();
        for (const auto &range : document.at("ranges")) {
            assignment.ranges_.push_back(decodeRange(range));
        }
        if (!assignment.isComplete()) {
            return std::nullopt;
        }
        return assignment;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Goldcrestwall::Gateway
