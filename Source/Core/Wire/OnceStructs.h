#pragma once

#include "Once/Commands.h"
#include "Wire/Control.capnp.h"

// Converts claims and outcomes to and from Cap'n Proto structs. Reading throws kj::Exception on invalid values.
namespace Wire {

void write(ControlSchema::Attempt::Builder, const Once::AttemptRef&);
Once::AttemptRef read(ControlSchema::Attempt::Reader);

void write(ControlSchema::Claim::Builder, const Once::Claim&);
Once::Claim read(ControlSchema::Claim::Reader);

void write(ControlSchema::BackendAnswer::Builder, const Once::Completed&);
void write(ControlSchema::BackendAnswer::Builder, const Once::RefusedByBackend&);
Once::Completed readCompleted(ControlSchema::BackendAnswer::Reader);
Once::RefusedByBackend readRefused(ControlSchema::BackendAnswer::Reader);

void write(ControlSchema::Outcome::Builder, const Once::Outcome&);
Once::Outcome read(ControlSchema::Outcome::Reader);

void write(ControlSchema::Orphan::Builder, const Once::Orphan&);
Once::Orphan read(ControlSchema::Orphan::Reader);

void write(ControlSchema::ClaimOutcome::Builder, const Once::ClaimOutcome&);
Once::ClaimOutcome read(ControlSchema::ClaimOutcome::Reader);

} // namespace Wire
