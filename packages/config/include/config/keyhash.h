/// Keyed hashes of callers' keys. The hashes are kept and sent instead of the keys.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mustardpond {

constexpr std::size_t KEY_HASH_BYTES = 16;
/// Longer keys are not accepted, so that a caller cannot make the router hash more than this.
constexpr std::size_t MAX_KEY_BYTES = 4096;

/// Random bytes that key all hashes of one configuration.
struct KeySalt {
    std::array<unsigned char, KEY_HASH_BYTES> bytes{};
};

struct KeyHash {
    std::array<unsigned char, KEY_HASH_BYTES> bytes{};

    /// Compares in constant time.
    bool operator==(const KeyHash &other) const;
};

/// For hash tables. The hash of a key depends on the secret key itself, so callers cannot choose it.
struct KeyHashHasher {
    std::size_t operator()(const KeyHash &hash) const;
};

KeySalt randomKeySalt();
KeyHash hashKey(std::string_view key, const KeySalt &salt);
/// Whether a key has an acceptable length.
bool isUsableKey(std::string_view key);

std::string toText(const KeySalt &salt);
std::string toText(const KeyHash &hash);
/// These return nothing if the text was not made by toText().
std::optional<KeySalt> saltFromText(const std::string &text);
std::optional<KeyHash> keyHashFromText(const std::string &text);

} // namespace mustardpond
