#include "Wire/FlatMessage.h"

#include "Wire/Fields.h"

namespace Wire {

std::string flatBytes(capnp::MessageBuilder& message)
{
    auto words = capnp::messageToFlatArray(message);
    auto bytes = words.asBytes();
    return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

Common::Error corruptBytes(const std::string& message)
{
    return Common::makeError(Common::Reason::Corrupt, "decode", message);
}

kj::Array<capnp::word> alignedWords(std::string_view bytes)
{
    require(!bytes.empty() && bytes.size() % sizeof(capnp::word) == 0, "the bytes are not whole words");
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    return words;
}

capnp::ReaderOptions readerOptions(size_t words)
{
    // Each part is read a few times at most. A message in which many pointers lead to one part is refused.
    constexpr uint64_t readsOfAWord = 4;
    constexpr uint64_t spareWords = 1'024;
    capnp::ReaderOptions options;
    options.traversalLimitInWords = words * readsOfAWord + spareWords;
    return options;
}

void checkFormatVersion(uint32_t version) { require(version == formatVersion, "unknown format version"); }

} // namespace Wire
