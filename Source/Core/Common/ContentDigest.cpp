#include "Common/ContentDigest.h"

#include "Common/Assert.h"

#include <openssl/evp.h>

#include <array>
#include <cstdio>
#include <memory>

namespace Common {

namespace {

    struct FreeContext {
        void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
    };

    uint64_t toNumber(const unsigned char* bytes)
    {
        uint64_t number = 0;
        for (size_t i = 0; i < sizeof number; ++i)
            number = number << 8 | bytes[i];
        return number;
    }

    // The same bytes on every machine, since instances compare digests.
    std::array<unsigned char, sizeof(uint64_t)> lengthBytes(uint64_t length)
    {
        std::array<unsigned char, sizeof(uint64_t)> bytes {};
        for (unsigned char& byte : bytes) {
            byte = static_cast<unsigned char>(length & 0xff);
            length >>= 8;
        }
        return bytes;
    }

} // namespace

ContentDigest digestOf(std::initializer_list<std::string_view> texts)
{
    thread_local std::unique_ptr<EVP_MD_CTX, FreeContext> context(EVP_MD_CTX_new());
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash {};
    bool isHashed = EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (std::string_view text : texts) {
        auto length = lengthBytes(text.size());
        isHashed = isHashed && EVP_DigestUpdate(context.get(), length.data(), length.size()) == 1
            && EVP_DigestUpdate(context.get(), text.data(), text.size()) == 1;
    }
    isHashed = isHashed && EVP_DigestFinal_ex(context.get(), hash.data(), nullptr) == 1;
    CORIANDERLOCK_INVARIANT(isHashed, "SHA-256 is available");
    return { toNumber(hash.data()), toNumber(hash.data() + sizeof(uint64_t)) };
}

std::string toHex(const ContentDigest& digest)
{
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(digest.high),
        static_cast<unsigned long long>(digest.low));
    return text;
}

} // namespace Common
