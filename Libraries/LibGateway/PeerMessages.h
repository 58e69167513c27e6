// Messages between instances.
#pragma once

#include <LibGateway/StoreView.h>

#include <msgpack.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Goldcrestwall::Gateway {

// The first message on a connection: who calls.
struct HelloMessage
{
    std::string instance_;
    std::string incarnation_;
    std::string domain_;

    MSGPACK_DEFINE(instance_, incarnation_, domain_)
};

// A request needs a place. Times are what is left at sending, in microseconds.
struct PlacementRequestMessage
{
    std::string service_;
    std::uint64_t number_ = 0;
    std::string workKind_;
    std::uint32_t priority_ = 0;
    std::int64_t latencyObjectiveLeft_ = 0;
    std::int64_t timeLeft_ = 0;
    std::int64_t assumedWork_ = 0;
    std::uint8_t attempt_ = 0;
    // -1 when there is none.
    std::int32_t key_ = -1;
    std::vector<std::string> avoidedServers_;
    bool isCallerRetry_ = false;

    MSGPACK_DEFINE(service_, number_, workKind_, priority_, latencyObjectiveLeft_, timeLeft_, assumedWork_, attempt_, key_, avoidedServers_, isCallerRetry_)
};

// The request is waiting; a decision follows.
struct QueuedMessage
{
    std::uint64_t number_ = 0;

    MSGPACK_DEFINE(number_)
};

struct PlacementMessage
{
    std::string service_;
    std::uint64_t number_ = 0;
    std::string server_;
    std::string address_;

    MSGPACK_DEFINE(service_, number_, server_, address_)
};

struct RejectionMessage
{
    std::uint64_t number_ = 0;
    std::uint8_t reason_ = 0;
    std::int64_t retryAfter_ = 0;

    MSGPACK_DEFINE(number_, reason_, retryAfter_)
};

// The request is no longer wanted.
struct CancelMessage
{
    std::string service_;
    std::uint64_t number_ = 0;

    MSGPACK_DEFINE(service_, number_)
};

// A place is given back. Load figures are meaningful when `hasLoad_` is set.
struct FinishMessage
{
    std::string service_;
    std::uint64_t number_ = 0;
    std::uint8_t outcome_ = 0;
    std::int64_t duration_ = 0;
    bool hasLoad_ = false;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint32_t slots_ = 0;
    double delayFactor_ = 1;

    MSGPACK_DEFINE(service_, number_, outcome_, duration_, hasLoad_, running_, waiting_, slots_, delayFactor_)
};

// The sender still holds a place that an earlier coordinator gave.
struct HeldPlacementMessage
{
    std::string service_;
    std::uint64_t number_ = 0;
    std::string server_;
    std::string workKind_;

    MSGPACK_DEFINE(service_, number_, server_, workKind_)
};

// Shows that the sender is alive; answered by PongMessage.
struct PingMessage
{
    // The sender's boot clock in microseconds.
    std::int64_t sentAt_ = 0;

    MSGPACK_DEFINE(sentAt_)
};

// What the sender knows of the store. Answers a ping, and is sent unasked when the view has changed.
struct PongMessage
{
    Platform::Revision revision_ = 0;
    // Whether the sender's view is current.
    bool isViewCurrent_ = false;
    // The ping's `sentAt_`; 0 when it answers none.
    std::int64_t pingSentAt_ = 0;
    // How long ago, in microseconds, the store last confirmed the sender's view.
    std::int64_t viewAge_ = 0;

    MSGPACK_DEFINE(revision_, isViewCurrent_, pingSentAt_, viewAge_)
};

// Asks for changes of the store's content since a revision.
struct ViewRequestMessage
{
    Platform::Revision revision_ = 0;

    MSGPACK_DEFINE(revision_)
};

struct ViewItem
{
    std::string key_;
    std::string value_;
    Platform::Revision revision_ = 0;

    MSGPACK_DEFINE(key_, value_, revision_)
};

struct ViewUpdateMessage
{
    Platform::Revision at_ = 0;
    bool isSnapshot_ = false;
    std::vector<ViewItem> items_;
    std::vector<std::string> removedKeys_;

    MSGPACK_DEFINE(at_, isSnapshot_, items_, removedKeys_)
};

// The sender does not coordinate the service of the request.
struct DeclinedMessage
{
    std::uint64_t number_ = 0;

    MSGPACK_DEFINE(number_)
};

// The order of the alternatives is the type on the wire: new ones go to the end.
using PeerMessage = std::variant<HelloMessage,
                                 PlacementRequestMessage,
                                 QueuedMessage,
                                 PlacementMessage,
                                 RejectionMessage,
                                 CancelMessage,
                                 FinishMessage,
                                 HeldPlacementMessage,
                                 PingMessage,
                                 PongMessage,
                                 ViewRequestMessage,
                                 ViewUpdateMessage,
                                 DeclinedMessage>;

// A message with its length in front.
std::string encodeFrame(const PeerMessage &message);
// Decodes what stands after the length. Nothing when the bytes are no message.
std::optional<PeerMessage> decodeFrame(const char *data, std::size_t size);

PlacementRequestMessage toMessage(const std::string &service, const PlacementRequest &request, TimePoint now);
PlacementRequest toPlacementRequest(const PlacementRequestMessage &message, const std::string &instance, TimePoint now);
FinishMessage toMessage(const std::string &service, std::uint64_t number, const PlacementReport &report);
PlacementReport toPlacementReport(const FinishMessage &message);
ViewUpdateMessage toMessage(const ViewUpdate &update);
ViewUpdate toViewUpdate(ViewUpdateMessage message);

} // namespace Goldcrestwall::Gateway
