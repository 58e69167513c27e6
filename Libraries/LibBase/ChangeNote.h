// Log of recent changes, stored inside each record.
#pragma once

#include <LibBase/Identifiers.h>
#include <LibBase/Time.h>

#include <vector>

namespace Goldcrestwall {

// Who changed a record, when and why. After a lost response from the store, the identifier shows whether the change took effect.
struct ChangeNote
{
    ChangeId id_;
    Version version_ = 0;
    UnixMilliseconds time_ = 0;
    std::string actor_;
    std::string reason_;
    // State before and after the change, for operators.
    std::string detail_;

    auto operator<=>(const ChangeNote &) const = default;
    MSGPACK_DEFINE(id_, version_, time_, actor_, reason_, detail_)
};

// The most recent changes of a record, oldest first. The capacity is large enough that a change which took effect is still in the log
// when its author reads the record back.
class ChangeLog
{
public:
    // Maximum number of notes in a record.
    static constexpr std::size_t Capacity = 64;

    // Returns a copy of the log with `note` appended, without the oldest notes beyond the capacity.
    ChangeLog with(ChangeNote note) const;

    // Whether the log contains the change.
    bool contains(const ChangeId &id) const;

    // The note of the change that produced `version`, or null.
    const ChangeNote *find(Version version) const;

    const std::vector<ChangeNote> &notes() const
    {
        return notes_;
    }

    bool operator==(const ChangeLog &) const = default;
    MSGPACK_DEFINE(notes_)

private:
    std::vector<ChangeNote> notes_;
};

} // namespace Goldcrestwall
