#include "Peer/Codec.h"

#include <cstdint>

namespace Peer {

namespace {

    // A reason is encoded as its enum value plus one; 0 means success.
    uint16_t encodeReason(Common::Reason reason) { return static_cast<uint16_t>(reason) + 1; }

    Common::Reason decodeReason(uint16_t code)
    {
        const bool isKnown = code && code <= encodeReason(Common::lastReason);
        return isKnown ? static_cast<Common::Reason>(code - 1) : Common::Reason::Internal;
    }

} // namespace

void writeResult(const Common::Result<std::string>& result, Schema::Endpoint::CallResults::Builder out)
{
    if (result) {
        const std::string& payload = result.value();
        out.setPayload(kj::arrayPtr(reinterpret_cast<const kj::byte*>(payload.data()), payload.size()));
        return;
    }
    const Common::Error& error = result.error();
    out.setErrorReason(encodeReason(error.reason));
    out.setErrorStep(error.step);
    out.setErrorPeer(error.peer);
    out.setErrorMessage(error.message);
}

Common::Result<std::string> readResult(Schema::Endpoint::CallResults::Reader in, const std::string& peer)
{
    if (!in.getErrorReason()) {
        const auto payload = in.getPayload();
        return std::string(reinterpret_cast<const char*>(payload.begin()), payload.size());
    }
    const std::string errorPeer = in.getErrorPeer().cStr();
    return Common::makeError(decodeReason(in.getErrorReason()), in.getErrorStep().cStr(), in.getErrorMessage().cStr(),
        errorPeer.empty() ? peer : errorPeer);
}

} // namespace Peer
