#include "Membership/Quarantine.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Membership {

namespace {

    size_t countServers(const std::vector<Loss>& losses)
    {
        std::set<Common::BackendServerId> servers;
        for (const Loss& loss : losses)
            servers.insert(loss.server);
        return servers.size();
    }

    bool meetsQuarantineThreshold(const QuarantineSettings& settings, const FingerprintRecord& record)
    {
        return record.losses.size() >= settings.quarantineAfterLosses
            || countServers(record.losses) >= settings.quarantineAfterServers;
    }

    const FingerprintEntry* findActive(
        const QuarantineState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
    {
        auto it = state.entries.find(fingerprint);
        if (it == state.entries.end() || it->second.expiresAt <= now || it->second.record.losses.empty())
            return nullptr;
        return &it->second;
    }

    bool isSuspectOfAnotherLoss(
        const QuarantineState& state, Common::Fingerprint fingerprint, const Loss& loss, Common::TimePoint now)
    {
        const FingerprintEntry* entry = findActive(state, fingerprint, now);
        return entry && std::any_of(entry->record.losses.begin(), entry->record.losses.end(), [&](const Loss& known) {
            return known != loss;
        });
    }

    // The fingerprints to which the loss is attributed: suspects of another loss if there are any, else all in flight.
    std::vector<Common::Fingerprint> attributedFingerprints(const QuarantineState& state, const Loss& loss,
        const std::vector<Common::Fingerprint>& inFlight, Common::TimePoint now)
    {
        std::vector<Common::Fingerprint> suspects;
        std::copy_if(inFlight.begin(), inFlight.end(), std::back_inserter(suspects),
            [&](Common::Fingerprint fingerprint) { return isSuspectOfAnotherLoss(state, fingerprint, loss, now); });
        return suspects.empty() ? inFlight : suspects;
    }

    Common::Milliseconds lifetime(const QuarantineSettings& settings, const FingerprintRecord& record)
    {
        return meetsQuarantineThreshold(settings, record) ? settings.quarantineFor : settings.suspectFor;
    }

    void evictIfFull(QuarantineState& state)
    {
        if (state.entries.size() < state.settings.maximumEntries)
            return;
        auto it = std::min_element(state.entries.begin(), state.entries.end(),
            [](const auto& a, const auto& b) { return a.second.expiresAt < b.second.expiresAt; });
        state.entries.erase(it);
    }

    FingerprintEntry& entryOf(QuarantineState& state, Common::Fingerprint fingerprint)
    {
        auto it = state.entries.find(fingerprint);
        if (it != state.entries.end())
            return it->second;
        evictIfFull(state);
        FingerprintEntry& entry = state.entries[fingerprint];
        entry.record.fingerprint = fingerprint;
        return entry;
    }

    Change updateEntry(
        QuarantineState& state, FingerprintEntry& entry, Common::TimePoint expiresAt, Common::TimePoint now)
    {
        entry.expiresAt = expiresAt;
        entry.summary = summarize(entry.record);
        ++state.generation;
        return { withRemaining(entry, now) };
    }

    bool addLoss(std::vector<Loss>& losses, const Loss& loss)
    {
        auto it = std::lower_bound(losses.begin(), losses.end(), loss);
        if (it != losses.end() && *it == loss)
            return false;
        losses.insert(it, loss);
        return true;
    }

    std::optional<Change> attributeLoss(
        QuarantineState& state, Common::Fingerprint fingerprint, const Loss& loss, Common::TimePoint now)
    {
        FingerprintEntry& entry = entryOf(state, fingerprint);
        if (entry.expiresAt <= now && !entry.record.losses.empty()) {
            ++entry.record.round;
            entry.record.losses.clear();
        }
        if (!addLoss(entry.record.losses, loss))
            return std::nullopt;
        return updateEntry(state, entry, now + lifetime(state.settings, entry.record), now);
    }

} // namespace

FingerprintRecord withRemaining(const FingerprintEntry& entry, Common::TimePoint now)
{
    FingerprintRecord record = entry.record;
    record.remaining = std::max(Common::Milliseconds(0), entry.expiresAt - now);
    return record;
}

std::vector<Change> recordLoss(
    QuarantineState& state, const Loss& loss, const std::vector<Common::Fingerprint>& inFlight, Common::TimePoint now)
{
    std::vector<Change> changes;
    for (Common::Fingerprint fingerprint : attributedFingerprints(state, loss, inFlight, now)) {
        if (auto change = attributeLoss(state, fingerprint, loss, now))
            changes.push_back(std::move(*change));
    }
    return changes;
}

std::optional<Change> recordCompletion(QuarantineState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    if (!findActive(state, fingerprint, now))
        return std::nullopt;
    FingerprintEntry& entry = state.entries[fingerprint];
    ++entry.record.round;
    entry.record.losses.clear();
    // Kept for a while, because other instances may still send the losses of the previous round.
    return updateEntry(state, entry, now + state.settings.suspectFor, now);
}

std::optional<Change> merge(QuarantineState& state, const FingerprintRecord& record, Common::TimePoint now)
{
    auto it = state.entries.find(record.fingerprint);
    bool isKnown = it != state.entries.end();
    if (isKnown && record.round < it->second.record.round)
        return std::nullopt;
    FingerprintEntry& entry = entryOf(state, record.fingerprint);
    bool isChanged = !isKnown;
    if (record.round > entry.record.round) {
        entry.record.round = record.round;
        entry.record.losses.clear();
        isChanged = true;
    }
    for (const Loss& loss : record.losses)
        isChanged |= addLoss(entry.record.losses, loss);
    if (!isChanged)
        return std::nullopt;
    Common::Milliseconds longest = std::max(state.settings.suspectFor, state.settings.quarantineFor);
    Common::TimePoint expiresAt = now + std::min(record.remaining, longest);
    return updateEntry(state, entry, std::max(entry.expiresAt, expiresAt), now);
}

void expire(QuarantineState& state, Common::TimePoint now)
{
    std::erase_if(
        state.entries, [&](const auto& pair) { return pair.second.expiresAt + state.settings.keepExpired <= now; });
}

bool isSuspect(const QuarantineState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    return findActive(state, fingerprint, now);
}

bool isQuarantined(const QuarantineState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    const FingerprintEntry* entry = findActive(state, fingerprint, now);
    return entry && meetsQuarantineThreshold(state.settings, entry->record);
}

bool mayRetry(const QuarantineState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    return !isSuspect(state, fingerprint, now);
}

} // namespace Membership
