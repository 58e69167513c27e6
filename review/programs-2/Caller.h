// Clients.
#pragma once

#include "Record.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <thread>
#include <vector>

namespace Review {

// A client's request.
struct CallerRequest
{
    std::string method_ = "GET";
    std::string host_;
    std::string path_;
    std::optional<std::uint32_t> key_ = {};
    std::string body_ = {};
    int deadlineMs_ = 1000;
};

// What a client got.
struct CallerAnswer
{
    // 0 if the connection ended without an answer.
    int status_ = 0;
    std::string requestId_;
    std::string body_;
    bool isSigned_ = false;
    TimePoint sentAt_;
};

// A new request id.
std::string makeRequestId();
// Sends a request over a connection of its own, with an id of its own.
CallerAnswer call(const std::string &address, const CallerRequest &request);
// The status of the answer to a plain GET; 0 without an answer.
int fetchStatus(const std::string &address, const std::string &path);

// Clients that call one after another until they are stopped, each at its own pace.
class Callers
{
public:
    // Makes one call; the argument counts the calls of a client.
    using Step = std::function<void(std::uint32_t)>;

    ~Callers();

    void add(Step step, Duration pause);
    void stop();

private:
    std::atomic<bool> isStopped_ = false;
    std::vector<std::thread> threads_;
};

} // namespace Review
