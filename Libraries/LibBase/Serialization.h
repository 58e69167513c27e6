// Serialization of messages and stored records with MessagePack.
#pragma once

#ifndef MSGPACK_NO_BOOST
#define MSGPACK_NO_BOOST
#endif
#include <msgpack.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Goldcrestwall {

// Encodes a value whose type declares its fields with MSGPACK_DEFINE.
template<typename T>
std::string encode(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

// Decodes a value. Returns nothing if the bytes are malformed, truncated or followed by further bytes.
template<typename T>
std::optional<T> decode(std::string_view bytes)
{
    try {
        std::size_t offset = 0;
        // A short malformed message may announce huge sizes; the limits keep it from allocating much memory.
        const msgpack::unpack_limit limit(1u << 20, 1u << 20, 1u << 26, 1u << 26, 1u << 20, 32);
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size()) {
            return std::nullopt;
        }
        return handle.get().as<T>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Goldcrestwall
