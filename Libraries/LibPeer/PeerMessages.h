// Messages of the data plane: dispatch calls and transferred histories.
#pragma once

#include <LibBackend/LibBackend.h>
#include <LibRouter/LibRouter.h>

namespace Goldcrestwall {

// A request sent from an entry to a dispatcher.
struct DispatchCall
{
    ServiceKey service_;
    ServerId server_;
    // The incarnation that dispatches for the server according to the routing table of the entry.
    Incarnation dispatcher_;
    bool hasRange_ = false;
    KeyRange range_;
    std::string key_;
    CustomerId customer_;
    double share_ = 1;
    std::uint8_t priority_ = 0;
    RequestId id_;
    std::uint8_t idOrigin_ = 0;
    std::uint8_t idempotence_ = 0;
    // Remaining time of the request in microseconds. It is relative because the monotonic clocks of two instances are not comparable.
    std::int64_t timeoutMicroseconds_ = 0;
    // Identifies the attempt for a cancellation.
    std::string correlation_;
    HttpRequestContent content_;

    auto operator<=>(const DispatchCall &) const = default;
    MSGPACK_DEFINE(service_,
                   server_,
                   dispatcher_,
                   hasRange_,
                   range_,
                   key_,
                   customer_,
                   share_,
                   priority_,
                   id_,
                   idOrigin_,
                   idempotence_,
                   timeoutMicroseconds_,
                   correlation_,
                   content_)
};

// The dispatcher's reply: the response of the backend server, or a verdict.
struct DispatchReply
{
    bool isAnswered_ = false;
    HttpResponseContent answer_;
    Verdict verdict_;

    bool operator==(const DispatchReply &) const = default;
    MSGPACK_DEFINE(isAnswered_, answer_, verdict_)
};

// The request histories of ranges that move to another dispatcher.
struct HistoryTransfer
{
    ServiceKey service_;
    ServerId server_;
    // The change that moves the ranges. The histories are valid for this change only.
    ChangeId change_;
    std::vector<RangeHistory> histories_;
    // Set if the server itself is handed over.
    ServerHandoverState handoverState_;

    bool operator==(const HistoryTransfer &) const = default;
    MSGPACK_DEFINE(service_, server_, change_, histories_, handoverState_)
};

} // namespace Goldcrestwall
