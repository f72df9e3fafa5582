#pragma once

#include <array>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::entry {

/// Maps secret keys to names.
class KeyTable {
public:
  /// Parses entries of the form name=key. Returns an empty optional with Malformed for any other
  /// form and for a key that occurs twice.
  static std::optional<KeyTable> parse(std::span<const std::string> Entries);

  /// Returns the name of the key, or an empty optional with Unauthorized for an unknown key. Takes
  /// the same time for every key, which prevents timing attacks.
  std::optional<std::string> nameOf(std::string_view Key) const;

private:
  /// SHA-256 of a key, so that all have the same length.
  using Digest = std::array<unsigned char, 32>;

  struct Entry {
    Digest KeyDigest;
    std::string Name;
  };

  static Digest digestOf(std::string_view Key);
  const Entry *find(const Digest &Wanted) const;

  std::vector<Entry> Entries_;
};

} // namespace cornellift::entry
