// Change log: appending and lookup.
#include <LibBase/ChangeNote.h>

#include <algorithm>

namespace Goldcrestwall {

ChangeLog ChangeLog::with(ChangeNote note) const
{
    ChangeLog result = *this;
    result.notes_.push_back(std::move(note));
    if (result.notes_.size() > Capacity) {
        result.notes_.erase(result.notes_.begin(), result.notes_.end() - Capacity);
    }
    return result;
}

bool ChangeLog::contains(const ChangeId &id) const
{
    return std::any_of(notes_.begin(), notes_.end(), [&](const ChangeNote &note) {
        return note.id_ == id;
    });
}

const ChangeNote *ChangeLog::find(Version version) const
{
    const auto position = std::find_if(notes_.begin(), notes_.end(), [&](const ChangeNote &note) {
        return note.version_ == version;
    });
    return position == notes_.end() ? nullptr : &*position;
}

} // namespace Goldcrestwall
