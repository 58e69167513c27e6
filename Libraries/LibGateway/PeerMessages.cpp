// MessagePack encoding and decoding of peer messages.
#include "PeerMessages.h"

#include <arpa/inet.h>

#include <cstring>

namespace Goldcrestwall::Gateway {

namespace {

constexpr double NoLimit = -1;

template<std::size_t Index = 0>
std::optional<PeerMessage> convert(std::size_t type, const msgpack::object &object)
{
    if constexpr (Index >= std::variant_size_v<PeerMessage>) {
        return std::nullopt;
    } else {
        if (type == Index) {
            return PeerMessage(object.as<std::variant_alternative_t<Index, PeerMessage>>());
        }
        return convert<Index + 1>(type, object);
    }
}

} // namespace

std::string encodeFrame(const PeerMessage &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(message.index());
    std::visit(
        [&packer](const auto &content) {
            packer.pack(content);
        },
        message);
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(buffer.size()));
    std::string frame(sizeof length, '\0');
    std::memcpy(frame.data(), &length, sizeof length);
    frame.append(buffer.data(), buffer.size());
    return frame;
}

std::optional<PeerMessage> decodeFrame(const char *data, std::size_t size)
{
    try {
        const auto handle = msgpack::unpack(data, size);
        const auto &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
            return std::nullopt;
        }
        return convert(object.via.array.ptr[0].as<std::size_t>(), object.via.array.ptr[1]);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

PlacementRequestMessage toMessage(const std::string &service, const PlacementRequest &request, TimePoint now)
{
    PlacementRequestMessage message;
    message.service_ = service;
    message.number_ = request.id_.number_;
    message.workKind_ = request.workKind_;
    message.priority_ = request.priority_;
    message.latencyObjectiveLeft_ = (request.latencyObjectiveAt_ - now).count();
    message.timeLeft_ = (request.deadline_ - now).count();
    message.assumedWork_ = request.assumedWork_.count();
    message.attempt_ = static_cast<std::uint8_t>(request.attempt_);
    message.key_ = request.key_ ? static_cast<std::int32_t>(*request.key_) : -1;
    message.avoidedServers_ = request.avoidedServers_;
    message.isCallerRetry_ = request.isCallerRetry_;
    return message;
}

PlacementRequest toPlacementRequest(const PlacementRequestMessage &message, const std::string &instance, TimePoint now)
{
    PlacementRequest request;
    request.id_ = {instance, message.number_};
    request.workKind_ = message.workKind_;
    request.priority_ = message.priority_;
    request.latencyObjectiveAt_ = now + Duration(message.latencyObjectiveLeft_);
    request.deadline_ = now + Duration(message.timeLeft_);
    request.assumedWork_ = Duration(message.assumedWork_);
    request.attempt_ = message.attempt_ <= 2 ? static_cast<AttemptKind>(message.attempt_) : AttemptKind::Retry;
    if (message.key_ >= 0 && message.key_ < static_cast<std::int32_t>(ShardKeyCount)) {
        request.key_ = static_cast<ShardKey>(message.key_);
    }
    request.avoidedServers_ = message.avoidedServers_;
    request.isCallerRetry_ = message.isCallerRetry_;
    return request;
}

FinishMessage toMessage(const std::string &service, std::uint64_t number, const ServerIncarnation &server, const PlacementReport &report)
{
    FinishMessage message;
    message.service_ = service;
    message.number_ = number;
    message.outcome_ = static_cast<std::uint8_t>(report.outcome_);
    message.duration_ = report.duration_.count();
    if (report.load_) {
        message.hasLoad_ = true;
        message.running_ = report.load_->running_;
        message.waiting_ = report.load_->waiting_;
        message.slots_ = report.load_->slots_;
        message.delayFactor_ = report.load_->delayFactor_;
    }
    if (report.isServerLeaving_ || report.heldBackFor_ > Duration::zero() || report.namedLimit_) {
        message.server_ = server.id_;
        message.startTime_ = server.startTime_;
        message.isServerLeaving_ = report.isServerLeaving_;
        message.heldBackFor_ = report.heldBackFor_.count();
        message.limit_ = report.namedLimit_.value_or(NoLimit);
        message.limitAge_ = report.limitAge_.count();
    }
    return message;
}

PlacementReport toPlacementReport(const FinishMessage &message)
{
    PlacementReport report;
    report.outcome_ = message.outcome_ <= static_cast<std::uint8_t>(PlacementOutcome::Abandoned) ? static_cast<PlacementOutcome>(message.outcome_)
                                                                                                 : PlacementOutcome::Abandoned;
    report.duration_ = Duration(message.duration_);
    if (message.hasLoad_) {
        report.load_ = ReportedLoad{message.running_, message.waiting_, message.slots_, message.delayFactor_};
    }
    report.isServerLeaving_ = message.isServerLeaving_;
    report.heldBackFor_ = std::max(Duration::zero(), Duration(message.heldBackFor_));
    if (message.limit_ >= 0 && message.limit_ <= MaxServerLimit) {
        report.namedLimit_ = message.limit_;
        report.limitAge_ = std::max(Duration::zero(), Duration(message.limitAge_));
    }
    return report;
}

ViewUpdateMessage toMessage(ViewUpdate update)
{
    ViewUpdateMessage message;
    message.at_ = update.at_.revision_;
    message.era_ = update.at_.era_;
    message.isSnapshot_ = update.isSnapshot_;
    for (auto &item : update.items_) {
        message.items_.push_back({std::move(item.key_), std::move(item.value_), item.version_.revision_});
    }
    message.removedKeys_ = std::move(update.removedKeys_);
    for (auto &item : update.unchanged_) {
        message.unchanged_.push_back({std::move(item.key_), item.version_.revision_, item.valueHash_});
    }
    return message;
}

ViewUpdate toViewUpdate(ViewUpdateMessage message)
{
    ViewUpdate update;
    update.at_ = message.version();
    update.isSnapshot_ = message.isSnapshot_;
    for (auto &item : message.items_) {
        update.items_.push_back({std::move(item.key_), std::move(item.value_), {message.era_, item.revision_}, {}});
    }
    update.removedKeys_ = std::move(message.removedKeys_);
    for (auto &item : message.unchanged_) {
        update.unchanged_.push_back({std::move(item.key_), {message.era_, item.revision_}, item.valueHash_});
    }
    return update;
}

ForgottenServer toForgottenServer(const ServerChange &change)
{
    const auto &notice = *change.notice_;
    return {change.server_.id_,
            change.server_.startTime_,
            static_cast<std::uint8_t>(notice.reason_),
            notice.version_.era_,
            notice.version_.revision_,
            notice.sequence_};
}

LeavingNotice toLeavingNotice(const ForgottenServer &server, TimePoint now)
{
    const auto reason =
        server.reason_ < static_cast<std::uint8_t>(LeavingReason::Announced) ? static_cast<LeavingReason>(server.reason_) : LeavingReason::Removed;
    return {reason, NoticeSource::Peer, now, now, {server.era_, server.revision_}, server.sequence_};
}

ViewChangeMessage toMessage(ViewChange change)
{
    ViewChangeMessage message;
    message.from_ = change.from_.revision_;
    message.to_ = change.to_.revision_;
    message.era_ = change.to_.era_;
    message.isComplete_ = change.isComplete_;
    for (auto &item : change.items_) {
        message.items_.push_back({std::move(item.key_), std::move(item.value_), item.version_.revision_});
    }
    for (auto &removal : change.removals_) {
        message.removals_.push_back({std::move(removal.key_), removal.version_.revision_});
    }
    return message;
}

ViewChange toViewChange(ViewChangeMessage message)
{
    ViewChange change;
    change.from_ = {message.era_, message.from_};
    change.to_ = message.to();
    change.isComplete_ = message.isComplete_;
    for (auto &item : message.items_) {
        change.items_.push_back({std::move(item.key_), std::move(item.value_), {message.era_, item.revision_}, {}});
    }
    for (auto &removal : message.removals_) {
        change.removals_.push_back({std::move(removal.key_), {message.era_, removal.revision_}});
    }
    return change;
}

} // namespace Goldcrestwall::Gateway
