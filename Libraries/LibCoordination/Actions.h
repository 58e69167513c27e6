// The I/O that the control plane requests from its caller, and the results of store calls.
#pragma once

#include <LibCoordination/Messages.h>

#include <variant>

namespace Goldcrestwall {

// The current time on the monotonic clock and on the wall clock.
struct Now
{
    TimePoint monotonic_;
    UnixMilliseconds wallClock_ = 0;

    auto operator<=>(const Now &) const = default;
};

// Send a message. Messages may be lost; delivery is not reported.
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

// The request history of the source range is transferred to the target range: the same range, a part of it, or the range that contains
// it.
struct RangeTransfer
{
    KeyRange source_;
    KeyRange target_;

    auto operator<=>(const RangeTransfer &) const = default;
};

// Send the request history of ranges to their next dispatcher, before the swap that moves them. The history is valid only if the named
// change takes effect.
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
    // Reads: the response contains the record. Swaps: the swap took effect.
    Done,
    // Swaps only: the record had another version; the response contains the current record.
    Conflict,
    // The call had no effect.
    Unavailable,
    // Swaps only: the swap may have taken effect or may still do so.
    Unknown,
};

// The response to a store call.
struct StoreResponse
{
    std::uint64_t call_ = 0;
    StoreStatus status_ = StoreStatus::Unavailable;
    // For reads and conflicts: the current record; its version is 0 if the record is absent.
    RecordValue record_;
    // For lists.
    std::vector<RecordVersion> versions_;
};

} // namespace Goldcrestwall
