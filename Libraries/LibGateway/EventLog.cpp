// Rate limits, buffering and non-blocking output of log lines.
#include "EventLog.h"

#include <poll.h>
#include <unistd.h>

namespace Goldcrestwall::Gateway {

namespace {

constexpr std::uint32_t MaxSampledPerSecond = 10;
constexpr std::uint32_t MaxKeptPerSecond = 120;
// More than the servers of a failure domain that is taken out, each of which is one line.
constexpr std::uint32_t MaxStatePerSecond = 250;
constexpr std::size_t MaxPendingBytes = 256U << 10U;
// A pipe that poll() reports as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t MaxWrite = 4096;

std::uint32_t maxPerSecond(LogImportance importance)
{
    switch (importance) {
    case LogImportance::Sampled:
        return MaxSampledPerSecond;
    case LogImportance::Kept:
        return MaxKeptPerSecond;
    case LogImportance::State:
        return MaxStatePerSecond;
    }
    return 0;
}

bool isWritable()
{
    pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

} // namespace

bool EventLog::isWithinRate(LogImportance importance, TimePoint now)
{
    if (now - secondStartedAt_ >= 1s) {
        secondStartedAt_ = now;
        linesInSecond_.clear();
    }
    return ++linesInSecond_[importance] <= maxPerSecond(importance);
}

void EventLog::write(const LogLine &line, LogImportance importance, TimePoint now)
{
    if (!isWithinRate(importance, now) || pendingBytes_ > MaxPendingBytes) {
        ++dropped_;
        ++droppedTotal_;
        return;
    }
    nlohmann::ordered_json document{{"time", unixNow()}, {"instance", instance_}};
    document.update(line.fields());
    if (dropped_ > 0) {
        document["linesLeftOut"] = dropped_;
        dropped_ = 0;
    }
    lines_.push_back(document.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n");
    pendingBytes_ += lines_.back().size();
}

void EventLog::flush()
{
    while (!lines_.empty() && isWritable()) {
        std::string chunk;
        while (!lines_.empty() && (chunk.empty() || chunk.size() + lines_.front().size() <= MaxWrite)) {
            chunk += lines_.front();
            lines_.pop_front();
        }
        pendingBytes_ -= chunk.size();
        const auto written = ::write(STDOUT_FILENO, chunk.data(), std::min(chunk.size(), MaxWrite));
        if (written > 0) {
            writtenBytes_ += static_cast<std::uint64_t>(written);
        }
        if (written >= 0 && static_cast<std::size_t>(written) < chunk.size()) {
            lines_.push_front(chunk.substr(static_cast<std::size_t>(written)));
            pendingBytes_ += lines_.front().size();
        }
    }
}

} // namespace Goldcrestwall::Gateway
