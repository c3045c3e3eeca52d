#pragma once

#include "Membership/Records.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace Membership {

struct QuarantineSettings {
    size_t quarantineAfterServers { 2 }; // Different servers lost.
    size_t quarantineAfterLosses { 3 }; // Also counts repeated losses of one server.
    Common::Milliseconds suspectFor { 300'000 };
    Common::Milliseconds quarantineFor { 300'000 };
    Common::Milliseconds keepExpired { 60'000 }; // Prevents a peer that expires the entry later from restoring it.
    size_t maximumEntries { 4'096 }; // At the limit the entry that expires first is evicted.
};

struct FingerprintEntry {
    FingerprintRecord record;
    Common::TimePoint expiresAt;
    Summary summary;
};

// Fingerprints of requests that were in flight on backend servers when these were lost.
//
// One loss makes a fingerprint suspect: its request is not retried or hedged. Losses of two different servers, or three
// losses of one, quarantine it for quarantineFor. A normal completion releases it and resets its losses. If some of the
// fingerprints in flight at a loss are already suspect because of another loss, the loss counts against these alone. So
// an unrelated request is quarantined only if it was in flight at both losses, and then only for quarantineFor.
struct QuarantineState {
    QuarantineSettings settings;
    std::unordered_map<Common::Fingerprint, FingerprintEntry> entries;
    uint64_t generation { 0 }; // Incremented on each change.
};

// A fingerprint identifies the work sent to one backend server, including its shard: a completion on one shard proves
// nothing about another. These functions return the changes to send to other instances.
std::vector<Change> recordLoss(
    QuarantineState&, const Loss&, const std::vector<Common::Fingerprint>& inFlight, Common::TimePoint now);
std::optional<Change> recordCompletion(QuarantineState&, Common::Fingerprint, Common::TimePoint now);
std::optional<Change> merge(QuarantineState&, const FingerprintRecord&, Common::TimePoint now);
// Drops entries that expired at least keepExpired ago.
void expire(QuarantineState&, Common::TimePoint now);

// The record as it is sent to others at now.
FingerprintRecord withRemaining(const FingerprintEntry&, Common::TimePoint now);

bool isSuspect(const QuarantineState&, Common::Fingerprint, Common::TimePoint now);
bool isQuarantined(const QuarantineState&, Common::Fingerprint, Common::TimePoint now);
// Whether the request may be sent to a second backend server, as a retry or a hedge.
bool mayRetry(const QuarantineState&, Common::Fingerprint, Common::TimePoint now);

} // namespace Membership
