#include "config/keyhash.h"

#include <sodium.h>

#include <cstring>

namespace mustardpond {

namespace {

constexpr int TEXT_VARIANT = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

using Bytes = std::array<unsigned char, KEY_HASH_BYTES>;

/// Initialises libsodium, which then chooses the fastest code for the processor. May be called from several threads.
void initialiseLibrary()
{
    static const int result = sodium_init();
    static_cast<void>(result);
}

std::string encode(const Bytes &bytes)
{
    std::string text(sodium_base64_ENCODED_LEN(KEY_HASH_BYTES, TEXT_VARIANT), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), TEXT_VARIANT);
    text.pop_back(); // the terminating null character
    return text;
}

std::optional<Bytes> decode(const std::string &text)
{
    Bytes bytes{};
    std::size_t length = 0;
    const char *end = nullptr;
    const int result =
        sodium_base642bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &length, &end, TEXT_VARIANT);
    const bool isWhole = result == 0 && length == bytes.size() && end == text.data() + text.size();
    return isWhole ? std::optional(bytes) : std::nullopt;
}

} // namespace

bool KeyHash::operator==(const KeyHash &other) const
{
    return sodium_memcmp(bytes.data(), other.bytes.data(), bytes.size()) == 0;
}

std::size_t KeyHashHasher::operator()(const KeyHash &hash) const
{
    std::size_t result = 0;
    std::memcpy(&result, hash.bytes.data(), sizeof(result));
    return result;
}

KeySalt randomKeySalt()
{
    initialiseLibrary();
    KeySalt salt;
    randombytes_buf(salt.bytes.data(), salt.bytes.size());
    return salt;
}

KeyHash hashKey(std::string_view key, const KeySalt &salt)
{
    initialiseLibrary();
    KeyHash hash;
    crypto_generichash(hash.bytes.data(), hash.bytes.size(), reinterpret_cast<const unsigned char *>(key.data()),
                       key.size(), salt.bytes.data(), salt.bytes.size());
    return hash;
}

bool isUsableKey(std::string_view key)
{
    return !key.empty() && key.size() <= MAX_KEY_BYTES;
}

std::string toText(const KeySalt &salt)
{
    return encode(salt.bytes);
}

std::string toText(const KeyHash &hash)
{
    return encode(hash.bytes);
}

std::optional<KeySalt> saltFromText(const std::string &text)
{
    const auto bytes = decode(text);
    return bytes ? std::optional(KeySalt{*bytes}) : std::nullopt;
}

std::optional<KeyHash> keyHashFromText(const std::string &text)
{
    const auto bytes = decode(text);
    return bytes ? std::optional(KeyHash{*bytes}) : std::nullopt;
}

} // namespace mustardpond
