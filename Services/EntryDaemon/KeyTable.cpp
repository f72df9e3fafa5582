#include "Services/EntryDaemon/KeyTable.h"

#include "Libraries/LibCore/Reason.h"

namespace cornellift::entry {

std::optional<KeyTable> KeyTable::parse(std::span<const std::string> Entries) {
  KeyTable Result;
  for (const auto &Entry : Entries) {
    auto Equals = Entry.find('=');
    if (Equals == std::string::npos || Equals == 0 || Equals + 1 == Entry.size())
      return core::fail(core::ErrorKind::Malformed,
                        "a key entry is not of the form name=key; give entries such as "
                        "branches=secret, separated by commas");
    if (!Result.Names_.emplace(Entry.substr(Equals + 1), Entry.substr(0, Equals)).second)
      return core::fail(core::ErrorKind::Malformed,
                        "two entries have the same key; give each name its own key");
  }
  return Result;
}

std::optional<std::string> KeyTable::nameOf(std::string_view Key) const {
  auto Found = Names_.find(Key);
  if (Found == Names_.end())
    return core::fail(core::ErrorKind::Unauthorized,
                      "the key is missing or unknown; send the team's key as X-Cornellift-Key");
  return Found->second;
}

} // namespace cornellift::entry
