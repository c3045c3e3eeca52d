#pragma once

#include "Common/Error.h"
#include "Control/Change.h"
#include "Control/Messages.h"
#include "Model/Resources.h"

#include <string>
#include <vector>

// JSON of the administration API.
namespace Api {

// {"revision", "resources": [{"resource", "version", "changed_by"}]}; docs/OPERATIONS.md lists the fields of each kind.
std::string encodeList(const Control::ReadFound&);

// The body of a PUT: {"change_id": ..., "made_from": n, "resource": {...}}. A made_from of 0 or none creates the
// resource.
// Errors: InvalidInput, naming the field.
Common::Result<Control::Change> decodePut(const std::string& body, const Model::ResourceKey&);
std::string encodePut(const Control::Change&);

std::string encodeOutcome(const Control::ChangeOutcome&);
// Returns 200 for an accepted change, else 400, 404 or 409.
int statusOf(const Control::ChangeOutcome&);

std::string encodeChanges(const Control::Changes&);
std::string encodeStatus(const Control::StatusFound&);

// The parts of an answer that clients use. Errors: Corrupt.
struct ListedResource {
    Model::Resource resource;
    Common::Revision version;
};
Common::Result<std::vector<ListedResource>> decodeList(const std::string& body);
Common::Result<Common::Revision> decodeAcceptedRevision(const std::string& body);

struct StatusSummary {
    Common::Revision revision;
    std::string state; // "in-force" or "applying".
    std::vector<std::string> missing;
    bool newLeader { false };
};
Common::Result<StatusSummary> decodeStatus(const std::string& body);

} // namespace Api
