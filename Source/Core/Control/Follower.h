#pragma once

#include "Control/Configuration.h"

namespace Control {

// An instance's own copy of the configuration.
struct Follower {
    Common::Revision revision;
    std::map<Model::ResourceKey, StoredResource> resources;
};

enum class FollowResult {
    Applied, // The follower is now at the revision of the changes, which may be where it was.
    Ignored, // The changes come from a replica that is behind the follower. Nothing changed.
    Gap, // The changes begin after the follower's revision: ask again from there. Nothing changed.
};

// Moves the follower on. Its revision never goes back: that is asserted.
FollowResult follow(Follower&, const Changes&);

} // namespace Control
