#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cornellift::entry {

/// Secret keys and the names that they stand for.
class KeyTable {
public:
  /// Entries have the form name=key. Returns an empty optional with Malformed for anything else,
  /// and for a key that occurs twice.
  static std::optional<KeyTable> parse(std::span<const std::string> Entries);

  /// Returns an empty optional with Unauthorized for an unknown key.
  std::optional<std::string> nameOf(std::string_view Key) const;

private:
  std::map<std::string, std::string, std::less<>> Names_; ///< By key.
};

} // namespace cornellift::entry
