#pragma once

#include "Consensus/Step.h"

namespace Consensus {

// The state, the effects and the time of one call of step().
struct Context {
    State& state;
    Effects& effects;
    Common::TimePoint now;
};

Message makeMessage(const State&, const MemberId& to, MessageBody);
// Sends immediately. For messages that don't depend on state which is not durable yet.
void send(Context&, const MemberId& to, MessageBody);
// Sends after all writes requested so far are durable.
void sendAfterWrites(Context&, const MemberId& to, MessageBody);
// Sends immediately if the current term and vote are durable, otherwise after all writes requested so far.
void sendAfterHardState(Context&, const MemberId& to, MessageBody);

// Returns the write of this step and creates it on the first call.
Write& currentWrite(Context&);
void setHardState(Context&, Common::Term, std::optional<MemberId> vote);
// Appends to the log and puts a membership entry into force.
void appendEntry(Context&, EntryRef);
// Removes the entries from this index on, none of which may be committed.
void truncateLog(Context&, Common::LogIndex);
// Registers the write of this step as pending. Without pending writes, releases the messages that wait for writes.
void finishStep(Context&);

} // namespace Consensus
