#pragma once

#include "Control/Configuration.h"

namespace Control {

// An instance's local copy of the configuration.
struct Follower {
    Common::Revision revision;
    std::map<Model::ResourceKey, StoredResource> resources;
};

enum class FollowResult {
    Applied, // The follower is at the revision of the changes, which may equal its previous one.
    Ignored, // The replica is behind the follower. Nothing changed.
    Gap, // The changes start after the follower's revision and must be requested from it. Nothing changed.
};

// Applies the changes to the follower. Asserts that its revision never decreases.
FollowResult follow(Follower&, const Changes&);

} // namespace Control
