#pragma once

#include "Common/Ids.h"
#include "Relay/Query.h"

#include <functional>
#include <optional>
#include <vector>

// When to act on the bundles of a call that other instances gather. Functions over plain structs; the caller keeps them
// under a lock.
namespace Relay {

// Names a bundle over all incarnations of the instance that requested it.
struct BundleId {
    Common::Incarnation requester;
    uint64_t number { 0 };

    friend bool operator==(const BundleId&, const BundleId&) = default;
};

// Identifies a bundle at its gatherer.
struct BundleKey {
    Common::Address requester;
    BundleId bundle;

    friend bool operator==(const BundleKey&, const BundleKey&) = default;
};

struct BundleProgress {
    enum class State {
        Probing, // The gatherer is asked whether it responds. It knows nothing of the bundle.
        Sent,
        Local, // This instance gathers it.
        Answered,
    };

    State state { State::Local };
    Common::TimePoint sentAt;
    int probes { 0 }; // How often its gatherer has been asked since whether it responds.
};

struct BundleCheck {
    std::vector<size_t> probe; // Bundles without an answer, whose gatherers must be probed.
    std::optional<Common::TimePoint> next; // When to check again; empty if no further probe is due.
};

// Returns what is due. Counts the probes that it returns.
BundleCheck checkBundles(std::vector<BundleProgress>&, const Times&, Common::TimePoint now);

} // namespace Relay

template <> struct std::hash<Relay::BundleKey> {
    size_t operator()(const Relay::BundleKey& key) const
    {
        size_t bundle = key.bundle.number * 0x9e3779b97f4a7c15U + key.bundle.requester.value();
        return std::hash<Common::Address> {}(key.requester) ^ bundle;
    }
};
