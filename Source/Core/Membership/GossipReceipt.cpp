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

    // Any message proves its sender alive, whichever way it came.
    void settleProbe(GossipState& state, GossipReceipt& receipt, const Common::InstanceId& id, bool tellOthers)
    {
        auto it = state.probes.find(id);
        if (it == state.probes.end())
            return;
        auto askers = std::move(it->second.onBehalfOf);
        state.probes.erase(it);
        if (!tellOthers)
            return;
        for (const Common::InstanceId& asker : askers) {
            GossipMessage message;
            message.heard = id;
            reply(state, receipt, asker, std::move(message));
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

    void queueNews(GossipState& state, const std::vector<Change>& changes, bool isSync)
    {
        bool isCatchingUp = isSync && changes.size() > state.settings.maximumRelayed;
        for (const Change& change : changes) {
            if (!isCatchingUp || isAboutSelf(state, change.record))
                queuePush(state, change);
        }
    }

    bool introducesSender(const GossipMessage& message)
    {
        return std::any_of(message.records.begin(), message.records.end(), [&](const Record& record) {
            const auto* instance = std::get_if<InstanceRecord>(&record);
            return instance && instance->id == message.from;
        });
    }

    // Tells a sender that we believe gone or suspect, so that it can refute it.
    void showSenderItsRecord(const GossipState& state, const Common::InstanceId& from, GossipMessage& answer)
    {
        auto it = state.directory.instances.find(from);
        if (it != state.directory.instances.end() && it->second.record.liveness != Liveness::Alive)
            answer.records.emplace_back(it->second.record);
    }

    void answerDigest(
        GossipState& state, const GossipMessage& message, bool hasNews, GossipMessage& answer, Common::TimePoint now)
    {
        if (!message.digest)
            return;
        const Digest& own = currentDigest(state, now);
        if (message.wantsReply) {
            answer.digest = own.root;
            showSenderItsRecord(state, message.from, answer);
            // Who introduces itself may not know us either, and needs our address to go on.
            if (introducesSender(message))
                answer.records.emplace_back(state.self);
        }
        // While it brings news, the exchange goes on until both sides know the same.
        if (*message.digest != own.root && (message.wantsReply || hasNews))
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
        if (!differing.empty())
            answer.summaries = summariesOf(state.directory, state.quarantine, state.settings.directory, differing, now);
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
        answer.records = recordsOf(
            state.directory, state.quarantine, settings, difference.toSend, state.settings.maximumSynced, now);
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

    // The helper's part in a probe: calls on the target, and tells the asker if it answers.
    void probeForAnother(
        GossipState& state, GossipReceipt& receipt, const GossipMessage& message, Common::TimePoint now)
    {
        if (!message.probe || *message.probe == state.self.id)
            return;
        auto [it, isNew] = state.probes.try_emplace(*message.probe, Probe { now, now });
        if (isNew)
            it->second.isOwn = false;
        auto& askers = it->second.onBehalfOf;
        if (std::find(askers.begin(), askers.end(), message.from) == askers.end())
            askers.push_back(message.from);
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
    if (!hearsOthers(state, now))
        forgetSilence(state, now);
    state.lastHeard = now;
    settleProbe(state, receipt, message.from, true);
    if (message.heard)
        settleProbe(state, receipt, *message.heard, false);

    applyRecords(state, receipt, message.records, now);
    queueNews(state, receipt.changes, message.digest.has_value());
    bool hasNews = !receipt.changes.empty();
    applyRenewals(state, receipt, message.renewals, now);

    GossipMessage answer;
    answerDigest(state, message, hasNews, answer, now);
    answerBuckets(state, message, answer, now);
    answerSummaries(state, message, answer, now);
    answerWanted(state, message, answer, now);
    if (!isEmpty(answer))
        reply(state, receipt, message.from, std::move(answer));
    probeForAnother(state, receipt, message, now);
    return receipt;
}

} // namespace Membership
