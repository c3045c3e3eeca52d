#pragma once

#include "Common/Error.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <string>
#include <string_view>
#include <utility>

// Converts unpacked Cap'n Proto messages to and from strings of bytes. Functions that read a message throw
// kj::Exception on malformed bytes; readFlatMessage() turns it into an Error.
namespace Wire {

inline constexpr uint32_t formatVersion = 1;

std::string serializeFlat(capnp::MessageBuilder&);

Common::Error corruptError(const std::string& message);

// Copies the bytes to aligned memory. Throws kj::Exception if they are empty or not a whole number of words.
kj::Array<capnp::word> copyToWords(std::string_view);

// Limits how many words of a message of this size may be read.
capnp::ReaderOptions readerOptions(size_t words);

// Throws kj::Exception unless the version is known.
void checkFormatVersion(uint32_t);

// Returns the result of read(Schema::Reader), or an Error with step "decode" and Reason::Corrupt.
template <typename Schema, typename Function>
auto readFlatMessage(std::string_view bytes, Function&& read)
    -> Common::Result<decltype(read(std::declval<typename Schema::Reader>()))>
{
    try {
        auto words = copyToWords(bytes);
        capnp::FlatArrayMessageReader message(words, readerOptions(words.size()));
        auto root = message.getRoot<Schema>();
        checkFormatVersion(root.getFormatVersion());
        return std::forward<Function>(read)(root);
    } catch (const kj::Exception& e) {
        return corruptError(e.getDescription().cStr());
    }
}

} // namespace Wire
