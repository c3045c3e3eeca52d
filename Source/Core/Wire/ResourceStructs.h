#pragma once

#include "Common/Error.h"
#include "Control/Configuration.h"
#include "Wire/Control.capnp.h"

// Converts resources, changes and errors to and from Cap'n Proto structs. Reading throws kj::Exception on invalid
// values.
namespace Wire {

void write(ControlSchema::Error::Builder, const Common::Error&);
Common::Error read(ControlSchema::Error::Reader);

void write(ControlSchema::Resource::Builder, const Model::Resource&);
Model::Resource read(ControlSchema::Resource::Reader);

void write(ControlSchema::ResourceKey::Builder, const Model::ResourceKey&);
Model::ResourceKey read(ControlSchema::ResourceKey::Reader);

void write(ControlSchema::StoredResource::Builder, const Control::StoredResource&);
Control::StoredResource read(ControlSchema::StoredResource::Reader);

void write(ControlSchema::Change::Builder, const Control::Change&);
Control::Change read(ControlSchema::Change::Reader);

void write(ControlSchema::ChangeOutcome::Builder, const Control::ChangeOutcome&);
Control::ChangeOutcome read(ControlSchema::ChangeOutcome::Reader);

void write(ControlSchema::Delta::Builder, const Control::Delta&);
Control::Delta read(ControlSchema::Delta::Reader);

void write(ControlSchema::Changes::Builder, const Control::Changes&);
Control::Changes read(ControlSchema::Changes::Reader);

} // namespace Wire
