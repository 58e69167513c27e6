// The store record that holds a customer's configuration document.
#pragma once

#include <LibBase/LibBase.h>

#include <string>

namespace Goldcrestwall {

// A configuration document with its version and its most recent changes.
class ConfigurationRecord
{
public:
    Version version() const
    {
        return version_;
    }
    const std::string &document() const
    {
        return document_;
    }
    const ChangeLog &changes() const
    {
        return changes_;
    }

    // Returns the next version of the record, with a new document and a note on the change.
    ConfigurationRecord withDocument(std::string document, ChangeNote note) const
    {
        ConfigurationRecord result = *this;
        ++result.version_;
        result.document_ = std::move(document);
        note.version_ = result.version_;
        result.changes_ = changes_.with(std::move(note));
        return result;
    }

    bool operator==(const ConfigurationRecord &) const = default;
    MSGPACK_DEFINE(version_, document_, changes_)

private:
    Version version_ = 0;
    std::string document_;
    ChangeLog changes_;
};

} // namespace Goldcrestwall
