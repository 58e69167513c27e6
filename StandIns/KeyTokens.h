// The fencing tokens of keys, for test stand-ins of servers that hold keys.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Goldcrestwall {

// The highest token recorded for each key; 0 if there was none. A range of keys includes both ends.
class KeyTokens
{
public:
    void record(std::uint32_t first, std::uint32_t last, std::uint64_t token);
    std::uint64_t highest(std::uint32_t first, std::uint32_t last) const;
    std::uint64_t lowest(std::uint32_t first, std::uint32_t last) const;

private:
    // By the first key of each range; a range ends where the next begins.
    std::map<std::uint32_t, std::uint64_t> ranges_ = {{0, 0}};
};

// The tokens with which the servers of a service have taken keys.
class TakenTokens
{
public:
    // A holder that had the key with this token or a higher one, and that token.
    struct Conflict
    {
        std::string holder_;
        std::uint64_t token_ = 0;

        auto operator<=>(const Conflict &) const = default;
    };

    // Records that a holder, which is one run of a server, takes keys. Returns another holder whose token the new one is not above, unless
    // this holder has all these keys with this token already.
    std::optional<Conflict> record(const std::string &holder, std::uint32_t first, std::uint32_t last, std::uint64_t token);

private:
    std::map<std::string, KeyTokens> holders_;
};

} // namespace Goldcrestwall
