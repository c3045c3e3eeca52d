#pragma once

#include "Common/Error.h"
#include "Consensus/Step.h"
#include "Storage/Store.h"

namespace Replica {

// What the log asks to be written, as the store takes it.
Storage::Batch toBatch(const Consensus::Write&);
// What the store found, as the log takes it. Error: Corrupt.
Common::Result<Consensus::Recovered> toRecovered(const Storage::Content&);

} // namespace Replica
