// The processes of the system.
#pragma once

#include "Record.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Review {

// One process of the system, started as the deploy file says, at a loopback address of its own.
class Router
{
public:
    // `address` is an address of 127.0.0.0/8. Settings and log are files in the folder.
    Router(
        std::string name, std::string zone, std::string address, std::vector<std::string> seeds, std::string storeAddress, const std::filesystem::path &folder);
    // Kills the process if it runs.
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    // Returns whether the process has been started.
    bool start();
    void signal(int number) const;
    // Waits for the process to end; returns whether it has.
    bool awaitEnd(Duration timeout);
    // Whether the process runs; it may have ended by itself.
    bool isRunning();
    bool isReady() const;
    const std::string &name() const
    {
        return name_;
    }
    const std::string &address() const
    {
        return address_;
    }
    std::string frontAddress() const;
    std::string controlAddress() const;

private:
    void writeSettings() const;

    std::string name_;
    std::string zone_;
    std::string address_;
    std::vector<std::string> seeds_;
    std::string storeAddress_;
    std::filesystem::path settingsPath_;
    std::filesystem::path logPath_;
    int pid_ = -1;
};

// A folder for settings and logs. It is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::filesystem::path &path() const
    {
        return path_;
    }

private:
    std::filesystem::path path_;
};

// Processes in two zones. Their names are edge-1, edge-2 and so on.
std::vector<std::unique_ptr<Router>> makeRouters(std::size_t count, const std::string &storeAddress, const std::filesystem::path &folder);
// Starts the processes and waits until all are ready; returns whether they are.
bool startAndAwaitReady(const std::vector<std::unique_ptr<Router>> &routers, Record &record);

} // namespace Review
