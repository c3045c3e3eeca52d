#pragma once

#include <capnp/blob.h>
#include <kj/string.h>

#include <string>

// Converts single fields of Cap'n Proto messages to and from our types.
namespace Wire {

// Throws kj::Exception, as Cap'n Proto itself does on malformed messages.
[[noreturn]] void failDecode(const char* what);

inline void require(bool condition, const char* what)
{
    if (!condition)
        failDecode(what);
}

inline capnp::Text::Reader toText(const std::string& text) { return { text.data(), text.size() }; }

template <typename Id> capnp::Text::Reader toText(const Id& id) { return toText(id.value()); }

inline capnp::Data::Reader toData(const std::string& bytes)
{
    return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
}

inline std::string fromText(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

template <typename Id> Id fromText(capnp::Text::Reader text) { return Id(fromText(text)); }

inline std::string fromData(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char*>(data.begin()), data.size() };
}

template <typename Enum> uint16_t toNumber(Enum value) { return static_cast<uint16_t>(value); }

// Throws kj::Exception if the number is greater than the last enum value.
template <typename Enum> Enum fromNumber(uint16_t number, Enum last)
{
    require(number <= static_cast<uint16_t>(last), "an enum value is out of range");
    return static_cast<Enum>(number);
}

} // namespace Wire
