#pragma once

#include "Common/Error.h"
#include "Model/Resources.h"

#include <string>
#include <vector>

namespace CommandLine {

// Reads resources from YAML documents parted by "---", and checks each. The error has a line for each problem, with
// file, line, field, what was found and what was expected.
Common::Result<std::vector<Model::Resource>> parseResources(const std::string& file, const std::string& text);
Common::Result<std::vector<Model::Resource>> loadResources(const std::string& file);

} // namespace CommandLine
