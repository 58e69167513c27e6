// Implements the serialization of control messages.
#include <LibCoordination/Messages.h>

#include <utility>

namespace Goldcrestwall {

namespace {

// The serialized form. The kind is the index of the message type in the variant, so the order of the variant must not change.
struct WireEnvelope
{
    Incarnation from_;
    std::string fromAddress_;
    Incarnation to_;
    std::uint32_t kind_ = 0;
    std::string body_;

    MSGPACK_DEFINE(from_, fromAddress_, to_, kind_, body_)
};

template<std::size_t Index = 0>
std::optional<Message> decodeMessage(std::size_t kind, std::string_view body)
{
    if constexpr (Index == std::variant_size_v<Message>) {
        return std::nullopt;
    } else {
        if (kind != Index) {
            return decodeMessage<Index + 1>(kind, body);
        }
        auto message = decode<std::variant_alternative_t<Index, Message>>(body);
        return message ? std::optional<Message>(std::move(*message)) : std::nullopt;
    }
}

} // namespace

std::string encodeEnvelope(const Envelope &envelope)
{
    WireEnvelope wire{envelope.from_, envelope.fromAddress_, envelope.to_, static_cast<std::uint32_t>(envelope.message_.index()), {}};
    wire.body_ = std::visit(
        [](const auto &message) {
            return encode(message);
        },
        envelope.message_);
    return encode(wire);
}

std::optional<Envelope> decodeEnvelope(std::string_view bytes)
{
    const auto wire = decode<WireEnvelope>(bytes);
    if (!wire) {
        return std::nullopt;
    }
    auto message = decodeMessage(wire->kind_, wire->body_);
    if (!message) {
        return std::nullopt;
    }
    return Envelope{wire->from_, wire->fromAddress_, wire->to_, std::move(*message)};
}

} // namespace Goldcrestwall
