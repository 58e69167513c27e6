// Stand-in for a target.
#pragma once

#include "KeyLedger.h"
#include "Store.h"

#include <condition_variable>
#include <vector>

namespace Review {

// What a target is.
struct TargetDescription
{
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_ = 2;
    Duration work_ = 10ms;
    // Null if the service is not divided by key.
    KeyLedger *ledger_ = nullptr;
};

// A request that a target has begun to run.
struct Run
{
    std::string requestId_;
    std::string target_;
    std::string service_;
    std::string path_;
    TimePoint at_;
};

// The runs at all targets. Thread-safe.
class RunList
{
public:
    void add(Run run);
    std::vector<Run> all() const;
    // The runs of one request.
    std::vector<Run> of(const std::string &requestId) const;

private:
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
};

// A sound target: runs requests, takes and releases keys, and writes its entry into the store at each heartbeat, as long as the store takes it.
class Target
{
public:
    Target(TargetDescription description, Store &store, RunList &runs, Record &record);
    ~Target();
    Target(const Target &) = delete;
    Target &operator=(const Target &) = delete;

    const std::string &id() const
    {
        return description_.id_;
    }
    std::string address() const
    {
        return listener_->address();
    }
    // Writes its entry now, unless it has left.
    void beat();
    // From now on its entry says that it is draining. It goes on serving.
    void drain();
    // Has its entry removed and writes none any more. It goes on serving.
    void leave();

private:
    Reply handle(const Request &request);
    Reply grant(const std::string &body);
    Reply release(const std::string &body);
    Reply run(const Request &request);
    Reply reject(const Request &request, int status) const;
    std::string load() const;
    void runHeartbeat();

    TargetDescription description_;
    Store &store_;
    RunList &runs_;
    Record &record_;
    std::int64_t born_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    bool hasLeft_ = false;
    bool isDraining_ = false;
    std::uint64_t sequence_ = 0;
    int running_ = 0;
    int waiting_ = 0;
    // The highest token of a grant or a release that this target has seen of each key.
    std::vector<std::uint64_t> seenTokens_;
    std::unique_ptr<HttpListener> listener_;
    std::thread heartbeat_;
};

} // namespace Review
