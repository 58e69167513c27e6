// The messages between instances and their binary encoding. Versions of the store are sent as a revision and, at the end of the message, its era: earlier
// versions of the program leave the era out, so that it is the lowest, and ignore it.
#pragma once

#include <LibGateway/StoreView.h>

#include <msgpack.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Goldcrestwall::Gateway {

// First message on a connection: identifies the sender.
struct HelloMessage
{
    std::string instance_;
    std::string incarnation_;
    std::string domain_;

    MSGPACK_DEFINE(instance_, incarnation_, domain_)
};

// Asks the coordinator for a placement of a request. Times are in microseconds, relative to the sending of the message.
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
    // -1 if the request has no key.
    std::int32_t key_ = -1;
    std::vector<std::string> avoidedServers_;
    bool isCallerRetry_ = false;

    MSGPACK_DEFINE(service_, number_, workKind_, priority_, latencyObjectiveLeft_, timeLeft_, assumedWork_, attempt_, key_, avoidedServers_, isCallerRetry_)
};

// The request is queued; a decision follows.
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
    // Which run of the server is meant.
    UnixMilliseconds startTime_ = 0;
    // The version of the coordinator's view.
    std::uint64_t revision_ = 0;
    // A LimitKnowledge.
    std::uint8_t limitKnowledge_ = 0;
    StoreEra era_ = 0;

    StoreVersion version() const
    {
        return {era_, revision_};
    }

    MSGPACK_DEFINE(service_, number_, server_, address_, startTime_, revision_, limitKnowledge_, era_)
};

struct RejectionMessage
{
    std::uint64_t number_ = 0;
    std::uint8_t reason_ = 0;
    std::int64_t retryAfter_ = 0;
    // The server whose limit is the reason; empty for other reasons.
    std::string limitedServer_;

    MSGPACK_DEFINE(number_, reason_, retryAfter_, limitedServer_)
};

// The sender no longer needs a placement for the request.
struct CancelMessage
{
    std::string service_;
    std::uint64_t number_ = 0;

    MSGPACK_DEFINE(service_, number_)
};

// Finishes a placement and reports its outcome. The load fields are valid only if `hasLoad_` is set. The server is named only if there is
// something to say about further requests to it. A message with the number 0 finishes nothing and only reports the server's limit.
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
    std::string server_;
    UnixMilliseconds startTime_ = 0;
    bool isServerLeaving_ = false;
    // Microseconds for which the server wants no requests from the sender.
    std::int64_t heldBackFor_ = 0;
    // Requests per second that the server accepts; negative if it has named no limit.
    double limit_ = -1;
    // Microseconds since the sender heard the server name it.
    std::int64_t limitAge_ = 0;
    // The request was sent without a placement by the receiver.
    bool isForeign_ = false;

    MSGPACK_DEFINE(service_,
                   number_,
                   outcome_,
                   duration_,
                   hasLoad_,
                   running_,
                   waiting_,
                   slots_,
                   delayFactor_,
                   server_,
                   startTime_,
                   isServerLeaving_,
                   heldBackFor_,
                   limit_,
                   limitAge_,
                   isForeign_)
};

// The sender still occupies a placement that a previous coordinator decided on.
struct HeldPlacementMessage
{
    std::string service_;
    std::uint64_t number_ = 0;
    std::string server_;
    std::string workKind_;

    MSGPACK_DEFINE(service_, number_, server_, workKind_)
};

// Liveness probe; the receiver replies with PongMessage.
struct PingMessage
{
    // The sender's boot clock in microseconds.
    std::int64_t sentAt_ = 0;
    // The version of the sender's view; no version from earlier versions of the program.
    std::uint64_t revision_ = 0;
    // Whether the receiver is to push changes of its view on this connection. Earlier versions neither ask for that nor hear of it.
    bool wantsChanges_ = false;
    StoreEra era_ = 0;

    StoreVersion version() const
    {
        return {era_, revision_};
    }

    MSGPACK_DEFINE(sentAt_, revision_, wantsChanges_, era_)
};

// One run of a server that is leaving.
struct LeavingServer
{
    std::string id_;
    UnixMilliseconds startTime_ = 0;

    MSGPACK_DEFINE(id_, startTime_)
};

// One run of a server that left in an earlier era, while its entry of the present one does not tell.
struct ForgottenServer
{
    std::string id_;
    UnixMilliseconds startTime_ = 0;
    std::uint8_t reason_ = 0;
    // The version of the notice, and the server's highest sequence then.
    StoreEra era_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t sequence_ = 0;

    MSGPACK_DEFINE(id_, startTime_, reason_, era_, revision_, sequence_)
};

// State of the sender's view of the store. Sent in reply to a ping, and unsolicited when the view has changed.
struct PongMessage
{
    std::uint64_t revision_ = 0;
    // Whether the sender's view is current.
    bool isViewCurrent_ = false;
    // The ping's `sentAt_`; 0 if unsolicited.
    std::int64_t pingSentAt_ = 0;
    // Microseconds since the store last confirmed the sender's view.
    std::int64_t viewAge_ = 0;
    // Servers that have said in a response that they are leaving, while the store does not say so yet.
    std::vector<LeavingServer> leavingServers_;
    // Microseconds for which the sender, which has no lease, will claim no service; 0 if it may claim at any time.
    std::int64_t claimsWithheldFor_ = 0;
    // The sender's boot clock in microseconds; 0 from earlier versions.
    std::int64_t sentAt_ = 0;
    // Whether the sender understands ViewChangeMessage.
    bool acceptsChanges_ = false;
    // The store's revision at the last change of the configuration that the sender knows of; 0 if it knows none.
    std::uint64_t configurationRevision_ = 0;
    // The era of the sender's view, and so of both revisions.
    StoreEra era_ = 0;
    std::vector<ForgottenServer> forgottenServers_;

    StoreVersion version() const
    {
        return {era_, revision_};
    }
    StoreVersion configurationStoreVersion() const
    {
        return {era_, configurationRevision_};
    }

    MSGPACK_DEFINE(revision_,
                   isViewCurrent_,
                   pingSentAt_,
                   viewAge_,
                   leavingServers_,
                   claimsWithheldFor_,
                   sentAt_,
                   acceptsChanges_,
                   configurationRevision_,
                   era_,
                   forgottenServers_)
};

// Requests the changes of the store's content since a version.
struct ViewRequestMessage
{
    std::uint64_t revision_ = 0;
    StoreEra era_ = 0;

    StoreVersion version() const
    {
        return {era_, revision_};
    }

    MSGPACK_DEFINE(revision_, era_)
};

// An item of the view. Its revision is one of the message's era.
struct ViewItem
{
    std::string key_;
    std::string value_;
    std::uint64_t revision_ = 0;

    MSGPACK_DEFINE(key_, value_, revision_)
};

// An item of the view whose value the receiver has. Its revision is one of the message's era.
struct ViewUnchangedItem
{
    std::string key_;
    std::uint64_t revision_ = 0;
    std::uint64_t valueHash_ = 0;

    MSGPACK_DEFINE(key_, revision_, valueHash_)
};

struct ViewUpdateMessage
{
    std::uint64_t at_ = 0;
    bool isSnapshot_ = false;
    std::vector<ViewItem> items_;
    std::vector<std::string> removedKeys_;
    StoreEra era_ = 0;
    // Left out only for instances that have stated an era; earlier versions of the program state none.
    std::vector<ViewUnchangedItem> unchanged_;

    StoreVersion version() const
    {
        return {era_, at_};
    }

    MSGPACK_DEFINE(at_, isSnapshot_, items_, removedKeys_, era_, unchanged_)
};

// A removal from the view. Its revision is one of the message's era.
struct RemovedItem
{
    std::string key_;
    std::uint64_t revision_ = 0;

    MSGPACK_DEFINE(key_, revision_)
};

// Changes of the sender's view, sent without being asked for. Earlier versions close a connection on which they receive it, so it is sent
// only to instances that have said that they want or accept changes.
struct ViewChangeMessage
{
    std::uint64_t from_ = 0;
    std::uint64_t to_ = 0;
    bool isComplete_ = false;
    std::vector<ViewItem> items_;
    std::vector<RemovedItem> removals_;
    // The era of all revisions of the message.
    StoreEra era_ = 0;

    StoreVersion to() const
    {
        return {era_, to_};
    }

    MSGPACK_DEFINE(from_, to_, isComplete_, items_, removals_, era_)
};

// The sender does not coordinate the service of the request.
struct DeclinedMessage
{
    std::uint64_t number_ = 0;

    MSGPACK_DEFINE(number_)
};

// The index of an alternative is its type on the wire: new alternatives must be appended.
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
                                 DeclinedMessage,
                                 ViewChangeMessage>;

// Encodes a message with a length prefix.
std::string encodeFrame(const PeerMessage &message);
// Decodes a frame without its length prefix. Returns nothing if the bytes are not a valid message.
std::optional<PeerMessage> decodeFrame(const char *data, std::size_t size);

PlacementRequestMessage toMessage(const std::string &service, const PlacementRequest &request, TimePoint now);
PlacementRequest toPlacementRequest(const PlacementRequestMessage &message, const std::string &instance, TimePoint now);
FinishMessage toMessage(const std::string &service, std::uint64_t number, const ServerIncarnation &server, const PlacementReport &report);
PlacementReport toPlacementReport(const FinishMessage &message);
ViewUpdateMessage toMessage(ViewUpdate update);
ForgottenServer toForgottenServer(const ServerChange &change);
LeavingNotice toLeavingNotice(const ForgottenServer &server, TimePoint now);
ViewUpdate toViewUpdate(ViewUpdateMessage message);
ViewChangeMessage toMessage(ViewChange change);
ViewChange toViewChange(ViewChangeMessage message);

} // namespace Goldcrestwall::Gateway
