#pragma once

#include "Common/Error.h"
#include "Consensus/Step.h"
#include "Storage/Store.h"

namespace Replica {

// Encodes a write of the consensus state for the store.
Storage::Batch toBatch(const Consensus::Write&);
// Decodes the recovered content of the store. Error: Corrupt.
Common::Result<Consensus::Recovered> toRecovered(const Storage::Content&);

} // namespace Replica
