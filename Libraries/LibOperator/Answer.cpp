// Formats answers as text and as JSON.
#include <LibOperator/Answer.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <sstream>

namespace Goldcrestwall {

namespace {

constexpr std::size_t ColumnGap = 2;

const char *statusName(AnswerStatus status)
{
    switch (status) {
    case AnswerStatus::Done:
        return "done";
    case AnswerStatus::Refused:
        return "refused";
    case AnswerStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string formatRow(const std::vector<std::string> &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        line += cells[column];
        if (column + 1 < cells.size()) {
            line += std::string(widths[column] + ColumnGap - std::min(cells[column].size(), widths[column]), ' ');
        }
    }
    return line + "\n";
}

} // namespace

std::string formatText(const Answer &answer)
{
    std::vector<std::size_t> widths(answer.columns_.size());
    for (std::size_t column = 0; column < widths.size(); ++column) {
        widths[column] = answer.columns_[column].size();
        for (const auto &row : answer.rows_) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text = answer.columns_.empty() ? std::string() : formatRow(answer.columns_, widths);
    for (const auto &row : answer.rows_) {
        text += formatRow(row, widths);
    }
    for (const std::string &note : answer.notes_) {
        text += note + "\n";
    }
    if (answer.status_ != AnswerStatus::Done) {
        text = std::string(statusName(answer.status_)) + ": " + text;
    }
    return text;
}

std::string formatJson(const Answer &answer)
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("status", statusName(answer.status_));
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    for (const auto &row : answer.rows_) {
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
        for (std::size_t column = 0; column < row.size(); ++column) {
            item->set(answer.columns_[column], row[column]);
        }
        rows->add(item);
    }
    object.set("rows", rows);
    Poco::JSON::Array::Ptr notes = new Poco::JSON::Array;
    for (const std::string &note : answer.notes_) {
        notes->add(note);
    }
    object.set("notes", notes);
    std::ostringstream stream;
    object.stringify(stream, 2);
    return stream.str() + "\n";
}

} // namespace Goldcrestwall
