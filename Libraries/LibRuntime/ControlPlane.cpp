// Control plane: threads for ticks, probes, the instance list and store calls.
#include <LibRuntime/ControlPlane.h>

namespace Goldcrestwall {

namespace {

constexpr Duration TickInterval = 5ms;
constexpr Duration ProbePollInterval = 25ms;
constexpr Duration InstanceListInterval = 1s;
constexpr std::size_t StoreThreads = 3;

} // namespace

ControlPlane::ControlPlane(const CoordinatorSettings &settings, StoreSettings store, RoutingView &view, DispatchTable &dispatchers, MetricRegistry &metrics)
    : coordinator_(settings,
                   static_cast<std::uint64_t>(unixNow()),
                   DataPlaneQueries{[&dispatchers](const ServerKey &server, const std::optional<KeyRange> &range) {
                                        return dispatchers.isDrained(server, range);
                                    },
                                    [&dispatchers](const ServerKey &server) {
                                        return dispatchers.isLost(server);
                                    }},
                   std::random_device()())
    , address_(settings.address_)
    , storeSettings_(std::move(store))
    , view_(view)
    , dispatchers_(dispatchers)
    , metrics_(metrics)
    , storeThreads_(StoreThreads)
{
}

ControlPlane::~ControlPlane()
{
    stop();
}

void ControlPlane::start(PeerTransport &transport)
{
    transport_ = &transport;
    threads_.emplace_back([this] {
        runTicks();
    });
    threads_.emplace_back([this] {
        runProbes();
    });
    threads_.emplace_back([this] {
        runInstanceList();
    });
}

void ControlPlane::stop()
{
    isStopping_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
    storeThreads_.join();
}

void ControlPlane::handleControl(const std::string &body)
{
    const auto envelope = decodeEnvelope(body);
    if (!envelope) {
        metrics_.increment("malformed_messages_total", {});
        return;
    }
    access([&](Coordinator &coordinator, Now now) {
        coordinator.handleMessage(*envelope, now);
    });
}

void ControlPlane::handleHistory(const std::string &body)
{
    auto transfer = decode<HistoryTransfer>(body);
    if (!transfer) {
        metrics_.increment("malformed_messages_total", {});
        return;
    }
    dispatchers_.addHistory(std::move(*transfer), {monotonicNow(), unixNow()});
}

void ControlPlane::leave()
{
    access([](Coordinator &coordinator, Now) {
        coordinator.leave();
    });
}

bool ControlPlane::hasLeft()
{
    return access([](Coordinator &coordinator, Now) {
        return coordinator.hasLeft();
    });
}

void ControlPlane::runTicks()
{
    TimePoint nextLoads;
    while (!isStopping_) {
        const Now now{monotonicNow(), unixNow()};
        dispatchers_.tick(now);
        const bool areLoadsDue = now.monotonic_ >= nextLoads;
        auto loads = areLoadsDue ? dispatchers_.loads(now) : std::map<ServiceKey, std::vector<ServerLoad>>();
        if (areLoadsDue) {
            nextLoads = now.monotonic_ + 1s;
        }
        access([&](Coordinator &coordinator, Now current) {
            for (auto &[service, serviceLoads] : loads) {
                coordinator.setLoads(service, std::move(serviceLoads));
            }
            coordinator.tick(current);
        });
        sleepUnlessStopping(TickInterval);
    }
}

void ControlPlane::runProbes()
{
    while (!isStopping_) {
        dispatchers_.probeServers();
        sleepUnlessStopping(ProbePollInterval);
    }
}

void ControlPlane::runInstanceList()
{
    StoreClient client(storeSettings_);
    while (!isStopping_) {
        auto list = client.readInstances(monotonicNow());
        if (list.isOk()) {
            access([&](Coordinator &coordinator, Now) {
                coordinator.setPlatformList(std::move(list.value()));
            });
        }
        for (Duration waited{}; waited < InstanceListInterval && !isStopping_; waited += ProbePollInterval) {
            sleepUnlessStopping(ProbePollInterval);
        }
    }
}

void ControlPlane::publish(Now now)
{
    // 1. Update the dispatchers before the coordinator asks whether a range has drained, so that no request enters a closed range.
    const auto table = coordinator_.routingTable();
    if (table != published_) {
        dispatchers_.update(*table, now);
        view_.setTable(table);
        published_ = table;
    }
    view_.setLeaseExpiry(coordinator_.leaseExpiry());
    // 2. Execute the actions; messages to this instance itself may cause further actions.
    while (true) {
        for (const Action &action : coordinator_.takeActions()) {
            execute(action);
        }
        if (loopback_.empty()) {
            break;
        }
        std::vector<Envelope> envelopes;
        envelopes.swap(loopback_);
        for (const Envelope &envelope : envelopes) {
            coordinator_.handleMessage(envelope, now);
        }
    }
}

void ControlPlane::execute(const Action &action)
{
    if (const auto *message = std::get_if<SendMessage>(&action)) {
        if (message->address_ == address_) {
            loopback_.push_back(message->envelope_);
        } else if (transport_) {
            transport_->send(message->address_, PeerChannel::Control, encodeEnvelope(message->envelope_));
        }
    } else if (const auto *transfer = std::get_if<TransferHistory>(&action)) {
        HistoryTransfer history = dispatchers_.takeHistory(*transfer);
        if (transfer->address_ == address_) {
            dispatchers_.addHistory(std::move(history), {monotonicNow(), unixNow()});
        } else if (transport_) {
            transport_->send(transfer->address_, PeerChannel::History, encode(history));
        }
    } else if (const auto *read = std::get_if<ReadRecord>(&action)) {
        callStore(*read);
    } else if (const auto *list = std::get_if<ListRecords>(&action)) {
        callStore(*list);
    } else if (const auto *swap = std::get_if<SwapRecord>(&action)) {
        callStore(*swap);
    }
}

template<typename Call>
void ControlPlane::callStore(Call call)
{
    boost::asio::post(storeThreads_, [this, call = std::move(call)] {
        if (isStopping_) {
            return;
        }
        StoreClient client(storeSettings_);
        StoreResponse answer;
        if constexpr (std::is_same_v<Call, ReadRecord>) {
            answer = client.read(call);
            metrics_.increment("store_calls_total", {{"kind", "read"}});
        } else if constexpr (std::is_same_v<Call, ListRecords>) {
            answer = client.list(call);
            metrics_.increment("store_calls_total", {{"kind", "list"}});
        } else {
            answer = client.swap(call);
            metrics_.increment("store_calls_total", {{"kind", "swap"}});
        }
        access([&](Coordinator &coordinator, Now now) {
            coordinator.handleStoreResponse(answer, now);
        });
    });
}

void ControlPlane::sleepUnlessStopping(Duration duration) const
{
    if (!isStopping_) {
        std::this_thread::sleep_for(duration);
    }
}

} // namespace Goldcrestwall
