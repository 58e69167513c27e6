// Structured log lines on standard output.
#pragma once

#include <LibBase/LibBase.h>

#include <nlohmann/json.hpp>

#include <deque>
#include <string>

namespace Goldcrestwall::Gateway {

// How important it is that a line is kept.
enum class LogImportance {
    // One of many alike; some are left out under load.
    Sampled,
    Kept,
};

// One line: an event and what decided it.
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
    LogLine &addDuration(const char *name, Duration age)
    {
        return add(name, std::chrono::duration<double, std::milli>(age).count());
    }
    const nlohmann::ordered_json &fields() const
    {
        return fields_;
    }

private:
    nlohmann::ordered_json fields_;
};

// Collects lines and writes them when standard output takes them. Lines beyond the bounds are dropped and counted; the next line that
// is written says how many. Nothing here blocks.
class EventLog
{
public:
    explicit EventLog(std::string instance)
        : instance_(std::move(instance))
    {
    }

    void write(const LogLine &line, LogImportance importance, TimePoint now);
    // Writes collected lines as far as standard output takes them without blocking.
    void flush();

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
    std::uint32_t sampledInSecond_ = 0;
    std::uint32_t keptInSecond_ = 0;
};

} // namespace Goldcrestwall::Gateway
