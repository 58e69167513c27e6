// Structured log lines on standard output.
#pragma once

#include <LibBase/LibBase.h>

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Goldcrestwall::Gateway {

// Which rate limit applies to a line.
enum class LogImportance {
    // One of many similar lines, limited to a low rate.
    Sampled,
    // A line about one request or call.
    Kept,
    // A change of what the instance believes or does. Many lines about requests do not displace it.
    State,
};

// A log line: an event and its fields.
class LogLine
{
public:
    explicit LogLine(const char *event)
        : fields_{{"event", event}}
    {
    }

    template<typename T>
    LogLine &add(const char *name, const T &value)
    {
        fields_[name] = value;
        return *this;
    }
    LogLine &add(const char *name, const StoreVersion &version)
    {
        return add(name, version.toString());
    }
    LogLine &add(const char *name, const StoreLeaseId &lease)
    {
        return add(name, lease.toString());
    }
    LogLine &addDuration(const char *name, Duration age)
    {
        return add(name, std::chrono::duration<double, std::milli>(age).count());
    }
    // Leaves the field out if there is no duration.
    LogLine &addDuration(const char *name, std::optional<Duration> age)
    {
        return age ? addDuration(name, *age) : *this;
    }
    const nlohmann::ordered_json &fields() const
    {
        return fields_;
    }

private:
    nlohmann::ordered_json fields_;
};

// Buffers lines and writes them when standard output accepts them. Lines beyond the rate or buffer limits are dropped and counted; the next
// line that is written has the count. No call blocks.
class EventLog
{
public:
    explicit EventLog(std::string instance)
        : instance_(std::move(instance))
    {
    }

    void write(const LogLine &line, LogImportance importance, TimePoint now);
    // Writes buffered lines as far as standard output accepts them without blocking.
    void flush();

    // The lines that wait to be written, each with its newline.
    const std::deque<std::string> &pendingLines() const
    {
        return lines_;
    }
    // Size of the lines that wait to be written.
    std::size_t pendingBytes() const
    {
        return pendingBytes_;
    }
    std::uint64_t droppedCount() const
    {
        return droppedTotal_;
    }
    std::uint64_t writtenBytes() const
    {
        return writtenBytes_;
    }

private:
    bool isWithinRate(LogImportance importance, TimePoint now);

    std::string instance_;
    std::deque<std::string> lines_;
    std::size_t pendingBytes_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedTotal_ = 0;
    std::uint64_t writtenBytes_ = 0;
    TimePoint secondStartedAt_;
    // Lines in this second, by importance.
    std::map<LogImportance, std::uint32_t> linesInSecond_;
};

} // namespace Goldcrestwall::Gateway
