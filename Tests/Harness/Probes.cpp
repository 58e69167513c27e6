// Implements the availability measurement of the test harness.
#include <Tests/Harness/Probes.h>

#include <algorithm>

namespace Goldcrestwall {

AvailabilityProbe::AvailabilityProbe(Simulation &simulation, ServiceKey service, std::size_t keys, Duration interval, TimePoint until)
    : simulation_(simulation)
    , service_(std::move(service))
    , interval_(interval)
    , until_(until)
{
    for (std::size_t key = 0; key < keys; ++key) {
        simulation_.events().after(simulation_.events().uniform(0ms, interval), [this, key] {
            submit(key);
        });
    }
}

void AvailabilityProbe::submit(std::size_t key)
{
    if (simulation_.events().now() >= until_) {
        return;
    }
    ClientRequest request;
    request.customer_ = service_.customer_;
    request.service_ = service_;
    request.key_ = "probe-" + std::to_string(key);
    request.id_ = simulation_.makeId();
    request.timeout_ = 4s;
    simulation_.submit(request, [this, key](const Submission &submission) {
        if (submission.answer_.isAnswered_) {
            ++answered_;
            completions_[key].push_back(simulation_.events().now());
        } else {
            ++failures_;
            ++failureReasons_[submission.isAbandoned_ ? "abandoned" : submission.answer_.verdict_.reason().message()];
        }
    });
    simulation_.events().after(interval_, [this, key] {
        submit(key);
    });
}

std::vector<Duration> AvailabilityProbe::gaps(TimePoint since) const
{
    std::vector<Duration> gaps;
    for (const auto &[key, times] : completions_) {
        TimePoint last = since;
        Duration longest{};
        for (const TimePoint time : times) {
            if (time >= since) {
                longest = std::max(longest, time - last);
                last = time;
            }
        }
        gaps.push_back(std::max(longest, until_ - last));
    }
    std::sort(gaps.begin(), gaps.end());
    return gaps;
}

Duration AvailabilityProbe::longestGap(TimePoint since) const
{
    const std::vector<Duration> all = gaps(since);
    return all.empty() ? until_ - since : all.back();
}

std::string AvailabilityProbe::describeFailures() const
{
    std::string text;
    for (const auto &[reason, count] : failureReasons_) {
        text += reason + ": " + std::to_string(count) + "; ";
    }
    return text;
}

} // namespace Goldcrestwall
