// Writing of the record.
#include "Record.h"

#include <cstdlib>
#include <iomanip>
#include <iostream>

namespace Review {

Record::Record(const std::filesystem::path &folder)
    : file_(folder / "record.txt", std::ios::trunc)
    , startedAt_(Clock::now())
{
    write(hasTrouble() ? "with the disruption" : "without the disruption");
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    writeLocked(line);
}

void Record::writeLocked(const std::string &line)
{
    const double seconds = std::chrono::duration<double>(Clock::now() - startedAt_).count();
    file_ << std::fixed << std::setprecision(3) << std::setw(8) << seconds << "  " << line << std::endl;
}

void Record::writeBreak(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    ++breaks_;
    writeLocked("BREAK " + line);
}

std::size_t Record::breakCount() const
{
    const std::lock_guard lock(mutex_);
    return breaks_;
}

int Record::end(Verdict verdict, const std::string &reason)
{
    const char *names[] = {"held", "broken", "not run"};
    const auto status = static_cast<int>(verdict);
    write(std::string("verdict: ") + names[status] + ", " + reason);
    std::cout << names[status] << ": " << reason << std::endl;
    return status;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace Review
