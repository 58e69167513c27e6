// Instance: start, dispatch of peer messages and planned stop.
#include <LibRuntime/Instance.h>

namespace Goldcrestwall {

namespace {

constexpr Duration StopPollInterval = 20ms;

}

Result<std::unique_ptr<Instance>> Instance::create(InstanceSettings settings)
{
    std::unique_ptr<Instance> instance(new Instance(std::move(settings)));
    const std::error_code error = instance->start();
    if (error) {
        return error;
    }
    return instance;
}

Instance::Instance(InstanceSettings settings)
    : settings_(std::move(settings))
    , dispatchers_(view_, metrics_)
    , control_(std::make_unique<ControlPlane>(settings_.coordinator_, settings_.store_, view_, dispatchers_, metrics_))
    , entry_(std::make_unique<EntryRole>(view_, dispatchers_, metrics_, settings_.coordinator_.address_))
    , dispatchThreads_(settings_.dispatchThreads_)
{
}

Instance::~Instance()
{
    // Order of destruction: callers first, then the control plane, which uses the transport. The transport is last, because the
    // dispatch threads respond over it.
    callers_.reset();
    control_->stop();
    entry_.reset();
    dispatchThreads_.join();
    transport_.reset();
}

std::error_code Instance::start()
{
    auto transport =
        PeerTransport::create(settings_.peerAddress_, settings_.peer_, [this](PeerChannel channel, std::string body, PeerTransport::Responder respond) {
            handlePeer(channel, std::move(body), std::move(respond));
        });
    if (!transport.isOk()) {
        return transport.error();
    }
    transport_ = std::move(transport).value();
    entry_->setTransport(*transport_);
    control_->start(*transport_);
    auto callers = CallerServer::create(settings_.callerAddress_, settings_.caller_, [this](const CallerRequest &request) {
        return entry_->handle(request);
    });
    if (!callers.isOk()) {
        return callers.error();
    }
    callers_ = std::move(callers).value();
    return {};
}

void Instance::handlePeer(PeerChannel channel, std::string body, PeerTransport::Responder respond)
{
    switch (channel) {
    case PeerChannel::Control:
        control_->handleControl(body);
        respond({});
        break;
    case PeerChannel::History:
        control_->handleHistory(body);
        respond({});
        break;
    case PeerChannel::Cancel:
        boost::asio::post(dispatchThreads_, [this, correlation = std::move(body)] {
            dispatchers_.cancel(correlation);
        });
        respond({});
        break;
    case PeerChannel::Dispatch: {
        const TimePoint receivedAt = monotonicNow();
        boost::asio::post(dispatchThreads_, [this, receivedAt, body = std::move(body), respond = std::move(respond)] {
            const auto call = decode<DispatchCall>(body);
            const DispatchReply malformed{false, {}, Verdict::notRun(RouterError::MalformedMessage)};
            respond(encode(call ? dispatchers_.dispatch(*call, receivedAt) : malformed));
        });
        break;
    }
    }
}

bool Instance::stopGracefully()
{
    const TimePoint deadline = monotonicNow() + settings_.stopTimeout_;
    const auto waitFor = [&](const auto &condition) {
        while (!condition()) {
            if (monotonicNow() >= deadline) {
                return false;
            }
            std::this_thread::sleep_for(StopPollInterval);
        }
        return true;
    };
    control_->leave();
    const bool hasLeft = waitFor([&] {
        return control_->hasLeft();
    });
    callers_->stopAccepting();
    const bool hasNoRequests = waitFor([&] {
        return callers_->inFlightRequests() == 0;
    });
    LOG(INFO) << "planned stop: " << (hasLeft ? "membership ended" : "membership not ended in time") << ", "
              << (hasNoRequests ? "no request in flight" : "requests in flight");
    return hasLeft && hasNoRequests;
}

} // namespace Goldcrestwall
