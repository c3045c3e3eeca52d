#pragma once

#include "Common/Error.h"
#include "Membership/Directory.h"
#include "Model/Resources.h"

#include <string>
#include <vector>

namespace Api {

// {"instances": [{"id", "incarnation", "address", "failure_domain", "state"}]}.
std::string encodeInstances(const std::vector<Membership::InstanceRecord>&);
// {"backend_servers": [{"server", "group", "address", "failure_domain", "state", "life", "owner", "replicas"}]}.
std::string encodeServers(const Membership::Directory&);

// Decodes the fields of the instance list that clients use. Errors: Corrupt.
Common::Result<std::vector<Model::Instance>> decodeInstances(const std::string& body);

} // namespace Api
