#pragma once

#include "Common/Error.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <string>
#include <string_view>

namespace Wire {

inline std::string packMessage(capnp::MessageBuilder& message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    auto bytes = out.getArray();
    return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

// Reads Root from packed bytes and returns fn(Root::Reader), which must be a Result. Exceptions that Cap'n Proto throws
// on malformed bytes become an error with Reason::Corrupt and the step.
template <typename Root, typename Function>
auto unpackMessage(std::string_view bytes, const char* step, Function&& fn) -> decltype(fn(typename Root::Reader()))
{
    decltype(fn(typename Root::Reader())) result
        = Common::makeError(Common::Reason::Corrupt, step, "the bytes contain no message");
    auto failure = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in);
        result = fn(reader.getRoot<Root>());
    });
    KJ_IF_MAYBE (exception, failure)
        return Common::makeError(Common::Reason::Corrupt, step, exception->getDescription().cStr());
    return result;
}

} // namespace Wire
