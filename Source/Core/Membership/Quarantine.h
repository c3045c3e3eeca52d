#pragma once

#include "Membership/Records.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace Membership {

struct QuarantineSettings {
    size_t serversToQuarantine { 2 };
    size_t lossesToQuarantine { 3 }; // If one backend server is lost again and again.
    Common::Milliseconds suspectFor { 300'000 };
    Common::Milliseconds quarantineFor { 300'000 };
    Common::Milliseconds keepExpired { 60'000 }; // So that a peer that expires it later can't bring it back.
    size_t maximumEntries { 4'096 }; // The one that expires first makes room.
};

struct FingerprintEntry {
    FingerprintRecord record;
    Common::TimePoint expires;
    Summary summary;
};

// Requests that were in flight on backend servers when these were lost.
//
// One loss makes a fingerprint suspect: it is not retried or hedged. Losses on two different servers, or three on
// one, quarantine it for a bounded time. A normal completion releases it, and starts its count from zero. If one of the
// fingerprints in flight at a loss was suspect already because of another loss, the loss counts against the suspects
// alone: so a bystander is quarantined only if it was in flight at both losses, and then for no longer than the bounded
// time.
struct QuarantineState {
    QuarantineSettings settings;
    std::unordered_map<Common::Fingerprint, FingerprintEntry> entries;
    uint64_t generation { 0 }; // Rises with each change.
};

// A fingerprint stands for what one backend server is asked to run, its shard included: a completion on one shard
// says nothing about another. Each function returns the changes that others have to hear of.
std::vector<Change> recordLoss(
    QuarantineState&, const Loss&, const std::vector<Common::Fingerprint>& inFlight, Common::TimePoint now);
std::optional<Change> recordCompletion(QuarantineState&, Common::Fingerprint, Common::TimePoint now);
std::optional<Change> merge(QuarantineState&, const FingerprintRecord&, Common::TimePoint now);
// Forgets what expired long enough ago.
void expire(QuarantineState&, Common::TimePoint now);

// The record as it is told to others at now.
FingerprintRecord withRemaining(const FingerprintEntry&, Common::TimePoint now);

bool isSuspect(const QuarantineState&, Common::Fingerprint, Common::TimePoint now);
bool isQuarantined(const QuarantineState&, Common::Fingerprint, Common::TimePoint now);
// Whether the request may go to a second backend server, as a retry or as a hedge.
bool mayRetry(const QuarantineState&, Common::Fingerprint, Common::TimePoint now);

} // namespace Membership
