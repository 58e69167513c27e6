// Fair queue: virtual times of customers, eviction and expiry.
#include <LibAdmission/FairQueue.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

// An export is urgent once its remaining time is shorter than this many service times.
constexpr int UrgentServiceTimes = 4;

} // namespace

void FairQueue::push(QueuedRequest request)
{
    CHECK(!isFull());
    CustomerQueue &customer = customers_[request.customer_];
    if (customer.size() == 0) {
        // A customer earns no credit for the time during which it had nothing queued.
        customer.virtualTime_ = std::max(customer.virtualTime_, virtualTime_);
    }
    customer.share_ = request.share_;
    auto &queue = request.priority_ == Priority::Interactive ? customer.interactive_ : customer.exports_;
    queue.push_back(std::move(request));
    ++size_;
}

std::optional<QueuedRequest> FairQueue::evictFor(const CustomerId &customer, double share)
{
    const auto own = customers_.find(customer);
    const double ownLoad = static_cast<double>(own == customers_.end() ? 1 : own->second.size() + 1) / share;
    const auto largest = std::max_element(customers_.begin(), customers_.end(), [](const auto &left, const auto &right) {
        return static_cast<double>(left.second.size()) / left.second.share_ < static_cast<double>(right.second.size()) / right.second.share_;
    });
    const bool isOverShare =
        largest != customers_.end() && largest->first != customer && static_cast<double>(largest->second.size()) / largest->second.share_ > ownLoad;
    if (!isOverShare) {
        return std::nullopt;
    }
    auto &queue = largest->second.exports_.empty() ? largest->second.interactive_ : largest->second.exports_;
    QueuedRequest evicted = std::move(queue.back());
    queue.pop_back();
    --size_;
    return evicted;
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint now, Duration serviceTime)
{
    CustomerQueue *next = nullptr;
    for (auto &[id, customer] : customers_) {
        if (customer.size() > 0 && (!next || customer.virtualTime_ < next->virtualTime_)) {
            next = &customer;
        }
    }
    if (!next) {
        return std::nullopt;
    }
    virtualTime_ = next->virtualTime_;
    next->virtualTime_ += 1 / next->share_;
    const bool isExportUrgent = !next->exports_.empty() && next->exports_.front().expiresAt_ - now < serviceTime * UrgentServiceTimes;
    auto &queue = next->interactive_.empty() || isExportUrgent ? next->exports_ : next->interactive_;
    QueuedRequest request = std::move(queue.front());
    queue.pop_front();
    --size_;
    return request;
}

std::vector<QueuedRequest> FairQueue::takeExpired(TimePoint now)
{
    std::vector<QueuedRequest> expired;
    for (auto &[id, customer] : customers_) {
        for (auto *queue : {&customer.interactive_, &customer.exports_}) {
            for (const QueuedRequest &request : *queue) {
                if (request.expiresAt_ <= now) {
                    expired.push_back(request);
                }
            }
            std::erase_if(*queue, [&](const QueuedRequest &request) {
                return request.expiresAt_ <= now;
            });
        }
    }
    size_ -= expired.size();
    std::erase_if(customers_, [&](const auto &customer) {
        return customer.second.size() == 0 && customer.second.virtualTime_ < virtualTime_;
    });
    return expired;
}

bool FairQueue::remove(Ticket ticket)
{
    for (auto &[id, customer] : customers_) {
        for (auto *queue : {&customer.interactive_, &customer.exports_}) {
            const std::size_t removed = std::erase_if(*queue, [&](const QueuedRequest &request) {
                return request.ticket_ == ticket;
            });
            size_ -= removed;
            if (removed > 0) {
                return true;
            }
        }
    }
    return false;
}

} // namespace Goldcrestwall
