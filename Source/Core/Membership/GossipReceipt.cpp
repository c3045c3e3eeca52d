#include "Membership/Gossip.h"
#include "Membership/GossipQueues.h"

#include <algorithm>
#include <utility>

namespace Membership {

namespace {

    void reply(GossipState& state, GossipReceipt& receipt, const Common::InstanceId& to, GossipMessage message)
    {
        auto address = addressOf(state, to);
        if (!address)
            return;
        message.from = state.self.id;
        receipt.replies.push_back({ to, *address, std::move(message) });
    }

    // Any message from an instance completes the probe of it.
    void completeProbe(GossipState& state, GossipReceipt& receipt, const Common::InstanceId& id, bool notifyRequesters)
    {
        auto it = state.probes.find(id);
        if (it == state.probes.end())
            return;
        auto requesters = std::move(it->second.onBehalfOf);
        state.probes.erase(it);
        if (!notifyRequesters)
            return;
        for (const Common::InstanceId& requester : requesters) {
            GossipMessage message;
            message.heard = id;
            reply(state, receipt, requester, std::move(message));
        }
    }

    void applyRecords(
        GossipState& state, GossipReceipt& receipt, const std::vector<Record>& records, Common::TimePoint now)
    {
        for (const Record& record : records) {
            if (auto change = applyRecord(state, record, now))
                receipt.changes.push_back(std::move(*change));
            else
                countDuplicate(state, record);
        }
    }

    void applyRenewals(
        GossipState& state, GossipReceipt& receipt, const std::vector<Renewal>& renewals, Common::TimePoint now)
    {
        for (const Renewal& renewal : renewals) {
            if (auto change = renew(state.directory, renewal, state.self.id, now)) {
                queuePush(state, *change);
                receipt.changes.push_back(std::move(*change));
            }
        }
    }

    bool isAboutSelf(const GossipState& state, const Record& record)
    {
        const auto* instance = std::get_if<InstanceRecord>(&record);
        return instance && instance->id == state.self.id;
    }

    void queueReceivedChanges(GossipState& state, const std::vector<Change>& changes, bool isSync)
    {
        bool isBulkSync = isSync && changes.size() > state.settings.maximumForwarded;
        for (const Change& change : changes) {
            if (!isBulkSync || isAboutSelf(state, change.record))
                queuePush(state, change);
        }
    }

    bool containsSenderRecord(const GossipMessage& message)
    {
        return std::any_of(message.records.begin(), message.records.end(), [&](const Record& record) {
            const auto* instance = std::get_if<InstanceRecord>(&record);
            return instance && instance->id == message.from;
        });
    }

    // Sends a suspect or gone sender its own record, so that it can refute it.
    void addSenderRecord(const GossipState& state, const Common::InstanceId& from, GossipMessage& answer)
    {
        auto it = state.directory.instances.find(from);
        if (it != state.directory.instances.end() && it->second.record.liveness != Liveness::Alive)
            answer.records.emplace_back(it->second.record);
    }

    // Remembers a difference, so that the exchange is repeated if the messages that resolve it are lost.
    void trackSync(GossipState& state, const GossipMessage& message, Common::TimePoint now)
    {
        if (!message.digest)
            return;
        uint64_t own = currentDigest(state, now).root;
        if (*message.digest == own)
            state.pendingSync.reset();
        else if (!state.pendingSync || state.pendingSync->ownRoot != own)
            state.pendingSync = PendingSync { own, now + state.settings.syncRetry };
    }

    void answerDigest(
        GossipState& state, const GossipMessage& message, bool hasChanges, GossipMessage& answer, Common::TimePoint now)
    {
        if (!message.digest)
            return;
        const Digest& own = currentDigest(state, now);
        if (message.wantsReply) {
            answer.digest = own.root;
            addSenderRecord(state, message.from, answer);
            // A sender that includes its own record may not know this instance and needs its address.
            if (containsSenderRecord(message))
                answer.records.emplace_back(state.self);
        }
        // The exchange continues while it brings changes, until both sides hold the same records. A message with
        // buckets is answered with summaries.
        if (message.buckets.empty() && *message.digest != own.root && (message.wantsReply || hasChanges))
            answer.buckets.assign(own.buckets.begin(), own.buckets.end());
    }

    void answerBuckets(GossipState& state, const GossipMessage& message, GossipMessage& answer, Common::TimePoint now)
    {
        if (message.buckets.size() != digestBuckets)
            return;
        const Digest& own = currentDigest(state, now);
        std::vector<uint32_t> differing;
        for (uint32_t i = 0; i < digestBuckets; ++i) {
            if (message.buckets[i] != own.buckets[i])
                differing.push_back(i);
        }
        if (differing.empty())
            return;
        const DirectorySettings& settings = state.settings.directory;
        answer.summaries = summariesOf(state.directory, state.quarantine, settings, differing, now);
        std::unordered_set<uint64_t> keys;
        for (const BucketSummaries& bucket : answer.summaries) {
            for (const Summary& summary : bucket.summaries)
                keys.insert(summary.key);
        }
        // Saves the sender a request, which could be lost.
        if (keys.size() <= state.settings.maximumUnrequested)
            answer.records = recordsOf(state.directory, state.quarantine, settings, keys, keys.size(), now);
    }

    void answerSummaries(GossipState& state, const GossipMessage& message, GossipMessage& answer, Common::TimePoint now)
    {
        if (message.summaries.empty())
            return;
        std::vector<uint32_t> buckets;
        for (const BucketSummaries& bucket : message.summaries)
            buckets.push_back(bucket.bucket);
        const DirectorySettings& settings = state.settings.directory;
        auto own = summariesOf(state.directory, state.quarantine, settings, buckets, now);
        Difference difference = compare(own, message.summaries);
        if (difference.toSend.empty() && difference.wanted.empty())
            return;
        auto records = recordsOf(
            state.directory, state.quarantine, settings, difference.toSend, state.settings.maximumSynced, now);
        std::move(records.begin(), records.end(), std::back_inserter(answer.records));
        answer.wanted = std::move(difference.wanted);
        answer.wanted.resize(std::min(answer.wanted.size(), state.settings.maximumSynced));
        answer.digest = currentDigest(state, now).root;
    }

    void answerWanted(GossipState& state, const GossipMessage& message, GossipMessage& answer, Common::TimePoint now)
    {
        if (message.wanted.empty())
            return;
        std::unordered_set<uint64_t> keys(message.wanted.begin(), message.wanted.end());
        auto records = recordsOf(
            state.directory, state.quarantine, state.settings.directory, keys, state.settings.maximumSynced, now);
        std::move(records.begin(), records.end(), std::back_inserter(answer.records));
        answer.digest = currentDigest(state, now).root;
    }

    bool isEmpty(const GossipMessage& message)
    {
        return message.records.empty() && !message.digest && message.buckets.empty() && message.summaries.empty()
            && message.wanted.empty();
    }

    // Handles the request for an indirect probe: probes the target and notifies the requester if it replies.
    void probeOnBehalfOfSender(
        GossipState& state, GossipReceipt& receipt, const GossipMessage& message, Common::TimePoint now)
    {
        if (!message.probe || *message.probe == state.self.id)
            return;
        auto [it, isNew] = state.probes.try_emplace(*message.probe, Probe { now, now });
        if (isNew)
            it->second.isOwn = false;
        auto& requesters = it->second.onBehalfOf;
        if (std::find(requesters.begin(), requesters.end(), message.from) == requesters.end())
            requesters.push_back(message.from);
        GossipMessage probe;
        probe.digest = currentDigest(state, now).root;
        probe.wantsReply = true;
        reply(state, receipt, *message.probe, std::move(probe));
    }

} // namespace

GossipReceipt receiveGossip(GossipState& state, const GossipMessage& message, Common::TimePoint now)
{
    GossipReceipt receipt;
    if (message.from == state.self.id)
        return receipt;
    if (!hasRecentContact(state, now))
        resetSilenceAndProbes(state, now);
    state.lastReceived = now;
    completeProbe(state, receipt, message.from, true);
    if (message.heard)
        completeProbe(state, receipt, *message.heard, false);

    applyRecords(state, receipt, message.records, now);
    queueReceivedChanges(state, receipt.changes, message.digest.has_value());
    bool hasChanges = !receipt.changes.empty();
    applyRenewals(state, receipt, message.renewals, now);

    trackSync(state, message, now);
    GossipMessage answer;
    answerDigest(state, message, hasChanges, answer, now);
    answerBuckets(state, message, answer, now);
    answerSummaries(state, message, answer, now);
    answerWanted(state, message, answer, now);
    if (!isEmpty(answer))
        reply(state, receipt, message.from, std::move(answer));
    probeOnBehalfOfSender(state, receipt, message, now);
    return receipt;
}

} // namespace Membership
