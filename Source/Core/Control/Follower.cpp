#include "Control/Follower.h"

#include "Common/Assert.h"

namespace Control {

namespace {

    void advanceRevision(Follower& follower, Common::Revision revision)
    {
        CORIANDERLOCK_INVARIANT(revision >= follower.revision, "an applied revision never decreases");
        follower.revision = revision;
    }

    void applyDelta(Follower& follower, const Delta& delta)
    {
        CORIANDERLOCK_INVARIANT(
            !delta.stored || delta.stored->version == delta.revision, "the version in a delta equals its revision");
        if (delta.stored)
            follower.resources[delta.key] = *delta.stored;
        else
            follower.resources.erase(delta.key);
    }

} // namespace

FollowResult follow(Follower& follower, const Changes& changes)
{
    if (changes.revision < follower.revision)
        return FollowResult::Ignored;
    if (!changes.whole && changes.from > follower.revision)
        return FollowResult::Gap;
    if (changes.whole)
        follower.resources.clear();
    for (const Delta& delta : changes.deltas) {
        // Responses that cross on the network may contain deltas that are already applied.
        if (changes.whole || delta.revision > follower.revision)
            applyDelta(follower, delta);
    }
    advanceRevision(follower, changes.revision);
    return FollowResult::Applied;
}

} // namespace Control
