#pragma once

#include "Control/Configuration.h"

namespace Control {

// Checks what a resource refers to: a route's group and index version, an index version's group. The error names the
// field; its step is "validate" and its reason InvalidInput.
Common::Result<void> checkReferences(const Configuration&, const Model::Resource&);

// Refuses to delete a group or index version that others use. The error names the field of the resource that uses it.
Common::Result<void> checkUnused(const Configuration&, const Model::ResourceKey&);

} // namespace Control
