// Implements sending, change notes and randomized intervals of the control plane.
#include <LibCoordination/CoordinationContext.h>

namespace Goldcrestwall {

CoordinationContext::CoordinationContext(CoordinatorSettings settings, Incarnation self, std::uint64_t seed)
    : settings_(std::move(settings))
    , self_(std::move(self))
    , random_(seed)
{
}

void CoordinationContext::send(const Incarnation &to, Message message)
{
    if (to == self_) {
        sendTo(settings_.address_, to, std::move(message));
        return;
    }
    const Member *member = catalog_.cluster().find(to);
    if (member) {
        sendTo(member->address_, to, std::move(message));
    }
}

void CoordinationContext::sendTo(const std::string &address, const Incarnation &to, Message message)
{
    actions_.emplace_back(SendMessage{address, Envelope{self_, settings_.address_, to, std::move(message)}});
}

std::vector<Action> CoordinationContext::takeActions()
{
    std::vector<Action> actions;
    actions.swap(actions_);
    return actions;
}

ChangeNote CoordinationContext::makeNote(Now now, std::string actor, std::string reason)
{
    return {ChangeId(self_.toString() + "/" + std::to_string(++lastChange_)), 0, now.wallClock_, std::move(actor), std::move(reason), {}};
}

Duration CoordinationContext::jitter(Duration interval)
{
    std::uniform_int_distribution<Duration::rep> distribution(interval.count() / 2, interval.count());
    return Duration(distribution(random_));
}

} // namespace Goldcrestwall
