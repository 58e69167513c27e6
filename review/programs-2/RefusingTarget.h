// Stand-in for a target in trouble.
#pragma once

#include "Target.h"

#include <random>

namespace Review {

// How a target is in trouble. Both are shares of its answers, from 0 to 1.
struct Trouble
{
    // Requests that it refuses without running them.
    double refused_ = 0;
    // Answers before which it sends the beginning of an earlier refusal once more.
    double spoilt_ = 0;
};

// How often a target has done so.
struct TroubleCount
{
    std::size_t answers_ = 0;
    std::size_t refusals_ = 0;
    std::size_t spoilt_ = 0;
};

// A target of a service without keys. It refuses a part of the requests, each time with the statement that it did not run. On a connection that has brought
// a refusal, it sends the beginning of that refusal once more when the next request has come, cut off at a random byte, and then its whole answer.
class RefusingTarget
{
public:
    RefusingTarget(std::string id, std::string service, std::string zone, std::uint32_t seed, Store &store, RunList &runs, Record &record);
    ~RefusingTarget();
    RefusingTarget(const RefusingTarget &) = delete;
    RefusingTarget &operator=(const RefusingTarget &) = delete;

    void setTrouble(Trouble trouble);
    TroubleCount count() const;

private:
    Reply handle(const Request &request);
    std::string makeRefusal(const std::string &requestId) const;
    std::string makeAnswer(const std::string &requestId) const;
    // The beginning of the connection's last refusal if this answer is to be spoilt; empty otherwise.
    std::string takeSpoilt(std::uint16_t port);
    void beat();
    void runHeartbeat();

    std::string id_;
    std::string service_;
    std::string zone_;
    Store &store_;
    RunList &runs_;
    Record &record_;
    std::int64_t born_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    std::uint64_t sequence_ = 0;
    std::mt19937 random_;
    Trouble trouble_;
    TroubleCount count_;
    // The last refusal on each connection, by the port of the caller.
    std::map<std::uint16_t, std::string> refusals_;
    std::unique_ptr<HttpListener> listener_;
    std::thread heartbeat_;
};

} // namespace Review
