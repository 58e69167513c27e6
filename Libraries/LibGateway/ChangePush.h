// Decides which changes of the view are pushed to peers, and to whom.
#pragma once

#include <LibGateway/StoreView.h>

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace Goldcrestwall::Gateway {

// Size of the keys and values of a change that is pushed. Larger changes are only announced, so that they can be fetched.
constexpr std::size_t MaxPushedBytes = 32768;
// The part of that for what does not bind in time. If there is more, it is left out.
constexpr std::size_t MaxPushedUnboundBytes = 4096;

std::size_t contentBytes(const ViewChange &change);
// Chooses the instances that are to push changes to this one: two of the `watchers`, which watch the store, and among them `ownWatcher`,
// the one of the own failure domain, if it is one of them. The other one differs between instances. All are addresses.
std::set<std::string> chooseChangeSources(const std::string &instance, const std::string &ownWatcher, const std::set<std::string> &watchers);

// The changes that an instance tells others without being asked. News comes by the own watch, by an answer of a peer, or by a push; each piece of
// it is passed on once, so pushes end also where connections form circles.
class ChangePush
{
public:
    // The change of the view since the last call or push, as far as it is to be pushed. To be called after each change of the view.
    std::optional<ViewChange> takeDue(const StoreView &view, TimePoint now);
    // Applies a change that a peer has pushed. Returns it, as far as it is to be passed on, if anything was new.
    std::optional<ViewChange> receive(ViewChange change, StoreView &view, TimePoint now);
    // Late changes that an instance with a view at `version`, which should know them by itself, has not shown to know. To be called with
    // the version up to which they have been sent to it, which is moved.
    std::vector<ViewChange> takeMissing(StoreVersion version, StoreVersion &sentVersion, TimePoint now);

private:
    struct Recent
    {
        ViewChange change_;
        TimePoint at_;
    };

    void remember(const ViewChange &change, TimePoint now);

    // The version of the view up to which changes have been pushed.
    StoreVersion pushedVersion_;
    // The newest changes in the order in which they were pushed.
    std::deque<Recent> recent_;
};

} // namespace Goldcrestwall::Gateway
