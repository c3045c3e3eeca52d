#pragma once

#include "Control/Configuration.h"

namespace Control {

// Checks that the resources which a resource refers to exist: the group and index version of a route, the group of an
// index version. The error names the field, with the step "validate" and the reason InvalidInput.
Common::Result<void> checkReferences(const Configuration&, const Model::Resource&);

// Returns an error if a resource refers to the given group or index version. The error names the referring field.
Common::Result<void> checkNotReferenced(const Configuration&, const Model::ResourceKey&);

} // namespace Control
