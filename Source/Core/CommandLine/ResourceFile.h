#pragma once

#include "Common/Error.h"
#include "Model/Resources.h"

#include <string>
#include <vector>

namespace CommandLine {

// Reads resources from YAML documents separated by "---" and validates each. The error has a line for each problem,
// with the file, line and field, and the found and expected values.
Common::Result<std::vector<Model::Resource>> parseResources(const std::string& file, const std::string& text);
Common::Result<std::vector<Model::Resource>> loadResources(const std::string& file);

} // namespace CommandLine
