// The answers to operators' statements, and their formats.
#pragma once

#include <LibBase/LibBase.h>

#include <string>
#include <vector>

namespace Goldcrestwall {

// Whether a statement was executed.
enum class AnswerStatus {
    Done,
    Refused,
    // The outcome of a command is unknown: it may have taken effect or may still do so.
    Unknown,
};

// A table with notes.
struct Answer
{
    AnswerStatus status_ = AnswerStatus::Done;
    std::vector<std::string> columns_;
    std::vector<std::vector<std::string>> rows_;
    std::vector<std::string> notes_;

    bool operator==(const Answer &) const = default;

    static Answer refused(std::string note)
    {
        return {AnswerStatus::Refused, {}, {}, {std::move(note)}};
    }
};

// Formats aligned columns, followed by the notes, one per line.
std::string formatText(const Answer &answer);

// Formats a JSON object with "status", "rows" (objects keyed by column) and "notes".
std::string formatJson(const Answer &answer);

} // namespace Goldcrestwall
