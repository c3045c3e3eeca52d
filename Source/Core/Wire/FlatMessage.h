#pragma once

#include "Common/Error.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <string>
#include <string_view>
#include <utility>

// A Cap'n Proto message as one string of bytes, and back. Functions that read a message throw kj::Exception on bytes
// that make no sense; readFlatMessage() turns it into an Error.
namespace Wire {

inline constexpr uint32_t formatVersion = 1;

std::string flatBytes(capnp::MessageBuilder&);

Common::Error corruptBytes(const std::string& message);

// The bytes as aligned words. Throws kj::Exception if they are not whole words.
kj::Array<capnp::word> alignedWords(std::string_view);

capnp::ReaderOptions readerOptions(size_t words);

// Throws kj::Exception unless the version is known.
void checkFormatVersion(uint32_t);

// Calls read(Schema::Reader) and returns what it returns, or an Error with step "decode" and reason Corrupt.
template <typename Schema, typename Function>
auto readFlatMessage(std::string_view bytes, Function&& read)
    -> Common::Result<decltype(read(std::declval<typename Schema::Reader>()))>
{
    try {
        auto words = alignedWords(bytes);
        capnp::FlatArrayMessageReader message(words, readerOptions(words.size()));
        auto root = message.getRoot<Schema>();
        checkFormatVersion(root.getFormatVersion());
        return std::forward<Function>(read)(root);
    } catch (const kj::Exception& e) {
        return corruptBytes(e.getDescription().cStr());
    }
}

} // namespace Wire
