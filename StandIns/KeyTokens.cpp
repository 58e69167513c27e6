// Ranges of keys with their highest tokens.
#include "KeyTokens.h"

#include <algorithm>

namespace Goldcrestwall {

void KeyTokens::record(std::uint32_t first, std::uint32_t last, std::uint64_t token)
{
    // Ranges begin at `first` and right after `last`, each with the token that applied there.
    const auto begin = ranges_.emplace(first, std::prev(ranges_.upper_bound(first))->second).first;
    const auto end = ranges_.emplace(last + 1, std::prev(ranges_.upper_bound(last + 1))->second).first;
    for (auto range = begin; range != end; ++range) {
        range->second = std::max(range->second, token);
    }
}

std::uint64_t KeyTokens::highest(std::uint32_t first, std::uint32_t last) const
{
    std::uint64_t token = 0;
    for (auto range = std::prev(ranges_.upper_bound(first)); range != ranges_.end() && range->first <= last; ++range) {
        token = std::max(token, range->second);
    }
    return token;
}

std::uint64_t KeyTokens::lowest(std::uint32_t first, std::uint32_t last) const
{
    std::uint64_t token = std::prev(ranges_.upper_bound(first))->second;
    for (auto range = ranges_.upper_bound(first); range != ranges_.end() && range->first <= last; ++range) {
        token = std::min(token, range->second);
    }
    return token;
}

std::optional<TakenTokens::Conflict> TakenTokens::record(const std::string &holder, std::uint32_t first, std::uint32_t last, std::uint64_t token)
{
    auto &own = holders_[holder];
    const bool isRepeated = own.lowest(first, last) == token && own.highest(first, last) == token;
    if (isRepeated) {
        return std::nullopt;
    }
    own.record(first, last, token);
    for (const auto &[other, tokens] : holders_) {
        if (const auto highest = tokens.highest(first, last); other != holder && highest >= token) {
            return Conflict{other, highest};
        }
    }
    return std::nullopt;
}

} // namespace Goldcrestwall
