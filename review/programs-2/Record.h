// What a case saw, and whether the rule held.
#pragma once

#include "Time.h"

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>

namespace Review {

// How a case ends; the exit statuses of its script.
enum class Verdict {
    Held = 0,
    Broken = 1,
    // The case could not run.
    NotRun = 2,
};

// Writes the record of a case. Thread-safe.
class Record
{
public:
    explicit Record(const std::filesystem::path &folder);

    // Writes a line with the time since the start of the case.
    void write(const std::string &line);
    // Writes a line about what breaks the rule.
    void writeBreak(const std::string &line);
    std::size_t breakCount() const;
    // Writes how the case has ended, and returns the exit status.
    int end(Verdict verdict, const std::string &reason);

private:
    void writeLocked(const std::string &line);

    mutable std::mutex mutex_;
    std::ofstream file_;
    TimePoint startedAt_;
    std::size_t breaks_ = 0;
};

// Whether the case is to be run with its disruption.
bool hasTrouble();

} // namespace Review
