#pragma once

#include "Consensus/Step.h"

namespace Consensus {

// One run of step().
struct Context {
    State& state;
    Effects& effects;
    Common::TimePoint now;
};

Message makeMessage(const State&, const MemberId& to, MessageBody);
// Sends at once. For what promises nothing that is not durable.
void send(Context&, const MemberId& to, MessageBody);
// Sends once all writes up to now are durable.
void sendAfterWrites(Context&, const MemberId& to, MessageBody);
// Sends at once, unless the own term or vote is not durable yet.
void sendAfterHardState(Context&, const MemberId& to, MessageBody);

// The write of this run, made on the first call.
Write& currentWrite(Context&);
void setHardState(Context&, Common::Term, std::optional<MemberId> vote);
void appendEntry(Context&, EntryRef);
// Removes uncommitted entries from this index on.
void truncateLog(Context&, Common::LogIndex);
// Ends the run: takes note of its write, and lets messages go that need not wait.
void finishStep(Context&);

} // namespace Consensus
