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

    bool isConvicted(const QuarantineSettings& settings, const FingerprintRecord& record)
    {
        return record.losses.size() >= settings.lossesToQuarantine
            || countServers(record.losses) >= settings.serversToQuarantine;
    }

    const FingerprintEntry* findInForce(
        const QuarantineState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
    {
        auto it = state.entries.find(fingerprint);
        if (it == state.entries.end() || it->second.expires <= now || it->second.record.losses.empty())
            return nullptr;
        return &it->second;
    }

    bool isSuspectOfAnother(
        const QuarantineState& state, Common::Fingerprint fingerprint, const Loss& loss, Common::TimePoint now)
    {
        const FingerprintEntry* entry = findInForce(state, fingerprint, now);
        return entry && std::any_of(entry->record.losses.begin(), entry->record.losses.end(), [&](const Loss& known) {
            return known != loss;
        });
    }

    // Those against whom the loss counts: suspects of another loss if there are any, else all.
    std::vector<Common::Fingerprint> accusedOf(const QuarantineState& state, const Loss& loss,
        const std::vector<Common::Fingerprint>& inFlight, Common::TimePoint now)
    {
        std::vector<Common::Fingerprint> suspects;
        std::copy_if(inFlight.begin(), inFlight.end(), std::back_inserter(suspects),
            [&](Common::Fingerprint fingerprint) { return isSuspectOfAnother(state, fingerprint, loss, now); });
        return suspects.empty() ? inFlight : suspects;
    }

    Common::Milliseconds lifetime(const QuarantineSettings& settings, const FingerprintRecord& record)
    {
        return isConvicted(settings, record) ? settings.quarantineFor : settings.suspectFor;
    }

    void makeRoom(QuarantineState& state)
    {
        if (state.entries.size() < state.settings.maximumEntries)
            return;
        auto it = std::min_element(state.entries.begin(), state.entries.end(),
            [](const auto& a, const auto& b) { return a.second.expires < b.second.expires; });
        state.entries.erase(it);
    }

    FingerprintEntry& entryOf(QuarantineState& state, Common::Fingerprint fingerprint)
    {
        auto it = state.entries.find(fingerprint);
        if (it != state.entries.end())
            return it->second;
        makeRoom(state);
        FingerprintEntry& entry = state.entries[fingerprint];
        entry.record.fingerprint = fingerprint;
        return entry;
    }

    Change touch(QuarantineState& state, FingerprintEntry& entry, Common::TimePoint expires, Common::TimePoint now)
    {
        entry.expires = expires;
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

    std::optional<Change> accuse(
        QuarantineState& state, Common::Fingerprint fingerprint, const Loss& loss, Common::TimePoint now)
    {
        FingerprintEntry& entry = entryOf(state, fingerprint);
        if (entry.expires <= now && !entry.record.losses.empty()) {
            ++entry.record.round;
            entry.record.losses.clear();
        }
        if (!addLoss(entry.record.losses, loss))
            return std::nullopt;
        return touch(state, entry, now + lifetime(state.settings, entry.record), now);
    }

} // namespace

FingerprintRecord withRemaining(const FingerprintEntry& entry, Common::TimePoint now)
{
    FingerprintRecord record = entry.record;
    record.remaining = std::max(Common::Milliseconds(0), entry.expires - now);
    return record;
}

std::vector<Change> recordLoss(
    QuarantineState& state, const Loss& loss, const std::vector<Common::Fingerprint>& inFlight, Common::TimePoint now)
{
    std::vector<Change> changes;
    for (Common::Fingerprint fingerprint : accusedOf(state, loss, inFlight, now)) {
        if (auto change = accuse(state, fingerprint, loss, now))
            changes.push_back(std::move(*change));
    }
    return changes;
}

std::optional<Change> recordCompletion(QuarantineState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    if (!findInForce(state, fingerprint, now))
        return std::nullopt;
    FingerprintEntry& entry = state.entries[fingerprint];
    ++entry.record.round;
    entry.record.losses.clear();
    // Kept for a while, since others may still tell of the losses.
    return touch(state, entry, now + state.settings.suspectFor, now);
}

std::optional<Change> merge(QuarantineState& state, const FingerprintRecord& record, Common::TimePoint now)
{
    auto it = state.entries.find(record.fingerprint);
    bool isKnown = it != state.entries.end();
    if (isKnown && record.round < it->second.record.round)
        return std::nullopt;
    FingerprintEntry& entry = entryOf(state, record.fingerprint);
    bool isNews = !isKnown;
    if (record.round > entry.record.round) {
        entry.record.round = record.round;
        entry.record.losses.clear();
        isNews = true;
    }
    for (const Loss& loss : record.losses)
        isNews |= addLoss(entry.record.losses, loss);
    if (!isNews)
        return std::nullopt;
    Common::Milliseconds longest = std::max(state.settings.suspectFor, state.settings.quarantineFor);
    Common::TimePoint expires = now + std::min(record.remaining, longest);
    return touch(state, entry, std::max(entry.expires, expires), now);
}

void expire(QuarantineState& state, Common::TimePoint now)
{
    std::erase_if(
        state.entries, [&](const auto& pair) { return pair.second.expires + state.settings.keepExpired <= now; });
}

bool isSuspect(const QuarantineState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    return findInForce(state, fingerprint, now);
}

bool isQuarantined(const QuarantineState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    const FingerprintEntry* entry = findInForce(state, fingerprint, now);
    return entry && isConvicted(state.settings, entry->record);
}

bool mayRetry(const QuarantineState& state, Common::Fingerprint fingerprint, Common::TimePoint now)
{
    return !isSuspect(state, fingerprint, now);
}

} // namespace Membership
