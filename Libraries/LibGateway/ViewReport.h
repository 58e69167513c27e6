// Log lines about what the view reads from the store.
#pragma once

#include <LibGateway/EventLog.h>
#include <LibGateway/StoreView.h>

namespace Goldcrestwall::Gateway {

// Decides which unusable entries are worth a log line: each once while its reason is the same, and again after some time. Servers write their entries at
// every heartbeat.
class EntryProblemLog
{
public:
    // Returns whether the problem of the entry with this key is to be logged.
    bool isDue(const std::string &key, const std::string &reason, TimePoint now);

private:
    struct Problem
    {
        std::string reason_;
        TimePoint loggedAt_;
    };

    void forgetOldest();

    std::map<std::string, Problem> problems_;
};

// The line for a view that has gone over to a higher era.
LogLine makeEraLine(const EraRead &read, TimePoint now);

} // namespace Goldcrestwall::Gateway
