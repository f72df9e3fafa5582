#pragma once

#include <array>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::entry {

/// Secret keys and the names that they stand for.
class KeyTable {
public:
  /// Entries have the form name=key. Returns an empty optional with Malformed for anything else,
  /// and for a key that occurs twice.
  static std::optional<KeyTable> parse(std::span<const std::string> Entries);

  /// Returns an empty optional with Unauthorized for an unknown key. Takes the same time for every
  /// key, so that the time does not tell how much of a guess is right.
  std::optional<std::string> nameOf(std::string_view Key) const;

private:
  using Digest = std::array<unsigned char, 32>; ///< SHA-256 of a key: all have one length.

  struct Entry {
    Digest KeyDigest;
    std::string Name;
  };

  static Digest digestOf(std::string_view Key);
  const Entry *find(const Digest &Wanted) const;

  std::vector<Entry> Entries_;
};

} // namespace cornellift::entry
