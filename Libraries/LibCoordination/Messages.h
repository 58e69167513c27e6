// The control messages between instances.
#pragma once

#include <LibAssignment/LibAssignment.h>
#include <LibBase/LibBase.h>
#include <LibCoordination/RecordKey.h>
#include <LibLease/LibLease.h>

#include <optional>
#include <variant>
#include <vector>

namespace Goldcrestwall {

// Asks a witness to renew the sender's lease.
struct RenewRequest
{
    std::uint64_t sequence_ = 0;
    // The digest of the versions that the sender has adopted.
    std::uint64_t digest_ = 0;

    bool operator==(const RenewRequest &) const = default;
    MSGPACK_DEFINE(sequence_, digest_)
};

// The response of a witness to a renewal request. `result_` is a RenewalResult.
struct RenewResponse
{
    std::uint64_t sequence_ = 0;
    std::uint8_t result_ = 0;
    std::uint64_t digest_ = 0;

    bool operator==(const RenewResponse &) const = default;
    MSGPACK_DEFINE(sequence_, result_, digest_)
};

// Asks another witness for the time since it last received a message from a holder.
struct LastContactRequest
{
    Incarnation target_;

    bool operator==(const LastContactRequest &) const = default;
    MSGPACK_DEFINE(target_)
};

// The time since the last message from the holder; negative if the witness does not know the holder.
struct LastContactResponse
{
    Incarnation target_;
    std::int64_t sinceContactMicroseconds_ = 0;

    bool operator==(const LastContactResponse &) const = default;
    MSGPACK_DEFINE(target_, sinceContactMicroseconds_)
};

// Asks a witness never to renew the target again.
struct SealRequest
{
    Incarnation target_;

    bool operator==(const SealRequest &) const = default;
    MSGPACK_DEFINE(target_)
};

// Confirms the seal and contains how long the last renewal may still be in use.
struct SealResponse
{
    Incarnation target_;
    std::int64_t remainingMicroseconds_ = 0;

    bool operator==(const SealResponse &) const = default;
    MSGPACK_DEFINE(target_, remainingMicroseconds_)
};

// The version of a record that the sender has.
struct RecordVersion
{
    RecordKey key_;
    Version version_ = 0;

    auto operator<=>(const RecordVersion &) const = default;
    MSGPACK_DEFINE(key_, version_)
};

// A record with its content.
struct RecordValue
{
    RecordKey key_;
    Version version_ = 0;
    std::string value_;

    auto operator<=>(const RecordValue &) const = default;
    MSGPACK_DEFINE(key_, version_, value_)
};

// Contains all versions that the sender has and requests newer ones.
struct SyncRequest
{
    std::vector<RecordVersion> versions_;

    bool operator==(const SyncRequest &) const = default;
    MSGPACK_DEFINE(versions_)
};

// Contains records that are newer than the requester's, and the keys of records of which the requester has a newer version.
struct SyncResponse
{
    std::vector<RecordValue> records_;
    std::vector<RecordKey> requestedKeys_;

    bool operator==(const SyncResponse &) const = default;
    MSGPACK_DEFINE(records_, requestedKeys_)
};

// The measured load of servers, sent to the member that balances their service.
struct LoadReport
{
    ServiceKey service_;
    std::vector<ServerLoad> loads_;

    bool operator==(const LoadReport &) const = default;
    MSGPACK_DEFINE(service_, loads_)
};

// Asks the dispatcher of the source servers to carry out moves.
struct MoveRequest
{
    ServiceKey service_;
    std::vector<SliceMove> moves_;

    bool operator==(const MoveRequest &) const = default;
    MSGPACK_DEFINE(service_, moves_)
};

// Asks which version of a record the receiver has adopted.
struct AdoptionRequest
{
    RecordKey key_;

    bool operator==(const AdoptionRequest &) const = default;
    MSGPACK_DEFINE(key_)
};

// The adopted version of the record; 0 if none.
struct AdoptionResponse
{
    RecordKey key_;
    Version version_ = 0;

    bool operator==(const AdoptionResponse &) const = default;
    MSGPACK_DEFINE(key_, version_)
};

using Message = std::variant<RenewRequest,
                             RenewResponse,
                             LastContactRequest,
                             LastContactResponse,
                             SealRequest,
                             SealResponse,
                             SyncRequest,
                             SyncResponse,
                             LoadReport,
                             MoveRequest,
                             AdoptionRequest,
                             AdoptionResponse>;

// A message with its sender and its receiver. If the receiver is empty, any incarnation at the address accepts the message.
struct Envelope
{
    Incarnation from_;
    // The address of the sender, so that a sender that is not a member yet can be sent a response.
    std::string fromAddress_;
    Incarnation to_;
    Message message_;

    bool operator==(const Envelope &) const = default;
};

// Serializes an envelope.
std::string encodeEnvelope(const Envelope &envelope);

// Parses an envelope; empty for a malformed message or an unknown kind.
std::optional<Envelope> decodeEnvelope(std::string_view bytes);

} // namespace Goldcrestwall
