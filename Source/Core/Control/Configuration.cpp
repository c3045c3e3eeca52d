#include "Control/Configuration.h"

#include "Common/Assert.h"
#include "Control/References.h"
#include "Model/Validation.h"

#include <algorithm>
#include <set>
#include <utility>

using Common::Reason;
using Common::Result;

namespace Control {

namespace {

    // The name of an index version consists of a group name, an @ and a number.
    constexpr size_t maximumKeyLength = Model::maximumNameLength + 24;

    Rejected reject(Reason reason, const char* step, std::string message)
    {
        return { Common::makeError(reason, step, std::move(message)), std::nullopt, std::nullopt };
    }

    Common::Error fieldError(const std::string& field, const std::string& found, const std::string& expected)
    {
        return Common::makeError(
            Reason::InvalidInput, "validate", "field " + field + " is " + found + ", expected " + expected);
    }

    // Checks that the fields of a change are consistent with each other, independently of the state.
    Result<void> checkWellFormed(const Change& change)
    {
        if (change.key.name.empty() || change.key.name.size() > maximumKeyLength)
            return fieldError("name", std::to_string(change.key.name.size()) + " characters",
                "1 to " + std::to_string(maximumKeyLength));
        bool isDelete = change.action == Action::Delete;
        bool isRaise = change.action == Action::Raise;
        bool isAssignFrom = change.action == Action::AssignFrom;
        bool isAssign = change.action == Action::Assign || isAssignFrom;
        bool isUnconditional = change.action == Action::Create || isRaise || change.action == Action::Assign;
        if (isUnconditional && change.madeFrom.value())
            return fieldError("made_from", std::to_string(change.madeFrom.value()),
                std::string("0 for a ") + actionName(change.action));
        if (isRaise != (change.key.kind == Model::Kind::RouteTable))
            return fieldError("action", actionName(change.action), "raise for a route table, and only for one");
        if (isAssign != (change.key.kind == Model::Kind::DomainEvacuation))
            return fieldError("action", actionName(change.action), "assign for an evacuation, and only for one");
        if (!isUnconditional && !isAssignFrom && !change.madeFrom.value())
            return fieldError(
                "made_from", "0", std::string("the version that the ") + actionName(change.action) + " was made from");
        if (isDelete == change.resource.has_value())
            return fieldError(
                "resource", isDelete ? "given" : "missing", isDelete ? "none for a delete" : "a resource");
        if (isDelete)
            return Common::success();
        BOOST_OUTCOME_TRYV(Model::validate(*change.resource));
        if (Model::keyOf(*change.resource) != change.key)
            return fieldError("name", "'" + Model::keyOf(*change.resource).name + "'", "'" + change.key.name + "'");
        return Common::success();
    }

    Rejected rejectWithWinner(const StoredResource& winner)
    {
        Rejected rejected = reject(Reason::Conflict, "change",
            "change '" + winner.changedBy.value() + "' made version " + std::to_string(winner.version.value()));
        rejected.winner = winner;
        rejected.winnerChange = winner.changedBy;
        return rejected;
    }

    // Rejects a change of a resource that doesn't exist: with Conflict if a replace lost against a deletion in the
    // history, otherwise with NotFound.
    Rejected rejectMissing(const Configuration& configuration, const Change& change)
    {
        auto isDeletion
            = [&](const Delta& delta) { return delta.key == change.key && delta.revision > change.madeFrom; };
        const auto& history = configuration.history;
        auto it = std::find_if(history.rbegin(), history.rend(), isDeletion);
        bool isLostRace = change.action == Action::Replace && it != history.rend();
        if (!isLostRace)
            return reject(Reason::NotFound, "change",
                std::string("no ") + Model::kindName(change.key.kind) + " '" + change.key.name + "'");
        CORIANDERLOCK_INVARIANT(!it->stored, "the last change of an absent resource deleted it");
        Rejected rejected = reject(Reason::Conflict, "change", "change '" + it->change.value() + "' deleted it");
        rejected.winnerChange = it->change;
        return rejected;
    }

    // Returns nothing if the change may be applied.
    std::optional<Rejected> checkVersion(const Configuration& configuration, const Change& change)
    {
        const StoredResource* stored = find(configuration, change.key);
        if (change.action == Action::Raise || change.action == Action::Assign)
            return std::nullopt;
        if (change.action == Action::Create)
            return stored ? std::optional(rejectWithWinner(*stored)) : std::nullopt;
        if (change.action == Action::AssignFrom && !stored && !change.madeFrom.value())
            return std::nullopt;
        if (!stored)
            return rejectMissing(configuration, change);
        if (stored->version != change.madeFrom)
            return rejectWithWinner(*stored);
        return std::nullopt;
    }

    // Followers never need the older versions of a route table, and the documents may be large.
    void clearOldRouteTables(Configuration& configuration)
    {
        for (Delta& delta : configuration.history) {
            auto* table = delta.stored ? std::get_if<Model::RouteTable>(&delta.stored->resource) : nullptr;
            if (table)
                table->document.clear();
        }
    }

    bool isAssigned(const Configuration& configuration, const Change& change)
    {
        const StoredResource* stored = find(configuration, change.key);
        return stored && stored->resource == *change.resource;
    }

    bool isSuperseded(const Configuration& configuration, const Change& change)
    {
        const StoredResource* stored = find(configuration, change.key);
        return stored
            && std::get<Model::RouteTable>(stored->resource).number
            >= std::get<Model::RouteTable>(*change.resource).number;
    }

    void storeChange(Configuration& configuration, const Change& change)
    {
        if (change.key.kind == Model::Kind::RouteTable)
            clearOldRouteTables(configuration);
        configuration.revision += Common::Revision(1);
        Delta delta { change.key, std::nullopt, configuration.revision, change.id };
        if (change.resource) {
            delta.stored = StoredResource { *change.resource, configuration.revision, change.id };
            configuration.resources[change.key] = *delta.stored;
        } else {
            configuration.resources.erase(change.key);
        }
        configuration.history.push_back(std::move(delta));
        while (configuration.history.size() > configuration.limits.history)
            configuration.history.pop_front();
    }

    ChangeOutcome decide(Configuration& configuration, const Change& change)
    {
        if (auto form = checkWellFormed(change); !form)
            return Rejected { form.error(), std::nullopt, std::nullopt };
        bool isWithoutEffect = (change.action == Action::Raise && isSuperseded(configuration, change))
            || (change.action == Action::Assign && isAssigned(configuration, change));
        if (isWithoutEffect)
            return Accepted { find(configuration, change.key)->version };
        if (auto rejected = checkVersion(configuration, change))
            return *rejected;
        auto references = change.resource ? checkReferences(configuration, *change.resource)
                                          : checkNotReferenced(configuration, change.key);
        if (!references)
            return Rejected { references.error(), std::nullopt, std::nullopt };
        storeChange(configuration, change);
        return Accepted { configuration.revision };
    }

    const RememberedChange* findRemembered(const Configuration& configuration, const Common::ChangeId& id)
    {
        auto it = configuration.rememberedIndex.find(id);
        if (it == configuration.rememberedIndex.end())
            return nullptr;
        return &configuration.remembered[it->second - configuration.evictedChanges];
    }

    void remember(Configuration& configuration, const Change& change, const ChangeOutcome& outcome)
    {
        configuration.rememberedIndex[change.id] = configuration.evictedChanges + configuration.remembered.size();
        configuration.remembered.push_back({ change.id, fingerprintOf(change), outcome });
        while (configuration.remembered.size() > configuration.limits.rememberedChanges) {
            configuration.rememberedIndex.erase(configuration.remembered.front().id);
            configuration.remembered.pop_front();
            ++configuration.evictedChanges;
        }
    }

    Changes fullCopy(const Configuration& configuration)
    {
        Changes changes { true, Common::Revision(), configuration.revision, {} };
        changes.deltas.reserve(configuration.resources.size());
        for (const auto& [key, stored] : configuration.resources)
            changes.deltas.push_back({ key, stored, stored.version, stored.changedBy });
        return changes;
    }

} // namespace

ChangeOutcome applyChange(Configuration& configuration, const Change& change)
{
    if (auto valid = Model::validateName("change_id", change.id.value()); !valid)
        return Rejected { valid.error(), std::nullopt, std::nullopt };
    if (const RememberedChange* first = findRemembered(configuration, change.id)) {
        if (first->body == fingerprintOf(change))
            return first->outcome;
        return reject(Reason::Conflict, "change", "change id '" + change.id.value() + "' was used with another body");
    }
    ChangeOutcome outcome = decide(configuration, change);
    remember(configuration, change, outcome);
    return outcome;
}

const StoredResource* find(const Configuration& configuration, const Model::ResourceKey& key)
{
    auto it = configuration.resources.find(key);
    return it == configuration.resources.end() ? nullptr : &it->second;
}

std::vector<StoredResource> list(const Configuration& configuration, Model::Kind kind)
{
    std::vector<StoredResource> found;
    auto it = configuration.resources.lower_bound({ kind, "" });
    for (; it != configuration.resources.end() && it->first.kind == kind; ++it)
        found.push_back(it->second);
    return found;
}

Evacuations evacuations(const Configuration& configuration)
{
    Evacuations found;
    for (const StoredResource& stored : list(configuration, Model::Kind::DomainEvacuation)) {
        const auto& evacuation = std::get<Model::DomainEvacuation>(stored.resource);
        found.revision = std::max(found.revision, stored.version);
        if (evacuation.isEvacuated)
            found.domains.push_back(evacuation.domain);
    }
    return found;
}

Changes changesSince(const Configuration& configuration, Common::Revision from)
{
    Changes changes { false, from, configuration.revision, {} };
    if (from >= configuration.revision)
        return changes;
    uint64_t behind = configuration.revision.value() - from.value();
    if (behind > configuration.history.size())
        return fullCopy(configuration);
    std::set<Model::ResourceKey> seen;
    auto end = configuration.history.rbegin() + static_cast<std::ptrdiff_t>(behind);
    for (auto it = configuration.history.rbegin(); it != end; ++it) {
        if (seen.insert(it->key).second)
            changes.deltas.push_back(*it);
    }
    std::reverse(changes.deltas.begin(), changes.deltas.end());
    return changes;
}

void rebuildIndexes(Configuration& configuration)
{
    configuration.rememberedIndex.clear();
    configuration.evictedChanges = 0;
    for (size_t i = 0; i < configuration.remembered.size(); ++i)
        configuration.rememberedIndex[configuration.remembered[i].id] = i;
}

} // namespace Control
