#include "Wire/FlatMessage.h"

#include "Wire/Fields.h"

namespace Wire {

std::string serializeFlat(capnp::MessageBuilder& message)
{
    auto words = capnp::messageToFlatArray(message);
    auto bytes = words.asBytes();
    return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

Common::Error corruptError(const std::string& message)
{
    return Common::makeError(Common::Reason::Corrupt, "decode", message);
}

kj::Array<capnp::word> copyToWords(std::string_view bytes)
{
    require(!bytes.empty() && bytes.size() % sizeof(capnp::word) == 0, "the size is not a whole number of words");
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    return words;
}

capnp::ReaderOptions readerOptions(size_t words)
{
    // Decoding reads each struct a few times at most. The limit rejects messages in which many pointers refer to the
    // same object to amplify the decoding work.
    constexpr uint64_t traversalsPerWord = 4;
    constexpr uint64_t extraWords = 1'024;
    capnp::ReaderOptions options;
    options.traversalLimitInWords = words * traversalsPerWord + extraWords;
    return options;
}

void checkFormatVersion(uint32_t version) { require(version == formatVersion, "unknown format version"); }

} // namespace Wire
