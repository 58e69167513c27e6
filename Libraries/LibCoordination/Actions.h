// What the control plane asks its surroundings to do, and how they answer.
#pragma once

#include <LibCoordination/Messages.h>

#include <variant>

namespace Goldcrestwall {

// The present time on both time lines.
struct Now
{
    TimePoint monotonic_;
    UnixMilliseconds wallClock_ = 0;

    auto operator<=>(const Now &) const = default;
};

// Send a message. Loss is tolerated; nobody reports whether it arrived.
struct SendMessage
{
    std::string address_;
    Envelope envelope_;
};

// Read one record from the store.
struct ReadRecord
{
    std::uint64_t call_ = 0;
    RecordKey key_;
};

// List the versions of all records in the store.
struct ListRecords
{
    std::uint64_t call_ = 0;
};

// Replace a record if it still has the expected version, 0 for an absent record. The new version is the expected one plus one.
struct SwapRecord
{
    std::uint64_t call_ = 0;
    RecordKey key_;
    Version expected_ = 0;
    std::string value_;
};

// The history of one range becomes that of another: of itself, or of a part or the whole of it.
struct RangeTransfer
{
    KeyRange source_;
    KeyRange target_;

    auto operator<=>(const RangeTransfer &) const = default;
};

// Send what is known of the requests of ranges to their next dispatcher, before the swap that moves them. The history holds for the
// named change only.
struct TransferHistory
{
    std::string address_;
    ServiceKey service_;
    ServerId from_;
    ServerId to_;
    ChangeId change_;
    std::vector<RangeTransfer> ranges_;
};

using Action = std::variant<SendMessage, ReadRecord, ListRecords, SwapRecord, TransferHistory>;

// How a call to the store ended.
enum class StoreStatus : std::uint8_t {
    // Reads: the content follows. Swaps: the swap took effect.
    Done,
    // Swaps only: the record had another version; the present content follows.
    Conflict,
    // The call had no effect.
    Unavailable,
    // Swaps only: the swap may have taken effect or may still do so.
    Unknown,
};

// The answer to a store call.
struct StoreResponse
{
    std::uint64_t call_ = 0;
    StoreStatus status_ = StoreStatus::Unavailable;
    // For reads and conflicts: the present record; its version is 0 when the record is absent.
    RecordValue record_;
    // For lists.
    std::vector<RecordVersion> versions_;
};

} // namespace Goldcrestwall
