// Sends requests of all kinds over connections that are kept open.
#include "SoakCallers.h"

#include "FaultPlayer.h"

#include <Tests/OnPlatform/Callers.h>

namespace Goldcrestwall::Soak {

namespace {

// Between two requests of a thread, for each instance, so that the rate of all callers together does not grow with their number.
constexpr auto PausePerInstance = std::chrono::milliseconds(4);
constexpr auto PauseAfterFailure = std::chrono::milliseconds(50);
constexpr std::uint32_t KeyStep = 6151;
constexpr std::uint32_t KeyCount = 65536;

OnPlatform::CallerRequest makeRequest(CallKind kind, std::size_t route, std::uint32_t key)
{
    if (kind == CallKind::Plain) {
        return {};
    }
    if (kind == CallKind::Booking) {
        return OnPlatform::makeBooking();
    }
    auto request = OnPlatform::makeKeyed(key);
    if (kind == CallKind::Changing) {
        request.host_ = ChangingHost;
        request.path_ = pathOfRoute(route) + "x";
    }
    return request;
}

} // namespace

SoakCallers::SoakCallers(OnPlatform::Deployment &deployment)
    : deployment_(deployment)
{
    for (std::size_t instance = 0; instance < deployment.instanceCount(); ++instance) {
        for (const auto kind : {CallKind::Plain, CallKind::Booking, CallKind::Keyed, CallKind::Changing}) {
            threads_.emplace_back([this, instance, kind] {
                run(instance, kind);
            });
        }
    }
}

SoakCallers::~SoakCallers()
{
    stop();
}

void SoakCallers::stop()
{
    isStopped_ = true;
    for (auto &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void SoakCallers::run(std::size_t instance, CallKind kind)
{
    OnPlatform::CallerConnection connection(deployment_.instance(instance).callerPort());
    for (std::uint32_t i = 0; !isStopped_; ++i) {
        CallRecord call;
        call.kind_ = kind;
        call.instance_ = instance;
        call.route_ = i % RouteCount;
        call.key_ = i * KeyStep % KeyCount;
        const auto request = makeRequest(kind, call.route_, call.key_);
        call.path_ = request.path_;
        call.sentAt_ = monotonicNow();
        call.answer_ = deployment_.call(connection, request);
        call.endedAt_ = monotonicNow();
        const bool hasFailed = call.answer_.status_ == 0;
        {
            const std::lock_guard lock(mutex_);
            calls_.push_back(std::move(call));
        }
        std::this_thread::sleep_for(hasFailed ? PauseAfterFailure : PausePerInstance * static_cast<int>(deployment_.instanceCount()));
    }
}

} // namespace Goldcrestwall::Soak
