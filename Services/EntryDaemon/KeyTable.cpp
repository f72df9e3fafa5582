#include "Services/EntryDaemon/KeyTable.h"

#include "Libraries/LibCore/Reason.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace cornellift::entry {

std::optional<KeyTable> KeyTable::parse(std::span<const std::string> Entries) {
  KeyTable Result;
  for (const auto &Entry : Entries) {
    auto Equals = Entry.find('=');
    if (Equals == std::string::npos || Equals == 0 || Equals + 1 == Entry.size())
      return core::fail(core::ErrorKind::Malformed,
                        "a key entry is not of the form name=key; give entries such as "
                        "branches=secret, separated by commas");
    auto KeyDigest = digestOf(std::string_view(Entry).substr(Equals + 1));
    if (Result.find(KeyDigest) != nullptr)
      return core::fail(core::ErrorKind::Malformed,
                        "two entries have the same key; give each name its own key");
    Result.Entries_.push_back({KeyDigest, Entry.substr(0, Equals)});
  }
  return Result;
}

std::optional<std::string> KeyTable::nameOf(std::string_view Key) const {
  const auto *Found = find(digestOf(Key));
  if (!Found)
    return core::fail(core::ErrorKind::Unauthorized,
                      "the key is missing or unknown; send the team's key as X-Cornellift-Key");
  return Found->Name;
}

KeyTable::Digest KeyTable::digestOf(std::string_view Key) {
  // SHA256() would look up the algorithm on each call, which takes longer than the digest itself.
  static EVP_MD *const Algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  Digest Result{};
  EVP_Digest(Key.data(), Key.size(), Result.data(), nullptr, Algorithm, nullptr);
  return Result;
}

const KeyTable::Entry *KeyTable::find(const Digest &Wanted) const {
  const Entry *Found = nullptr;
  for (const auto &Candidate : Entries_)
    if (CRYPTO_memcmp(Candidate.KeyDigest.data(), Wanted.data(), Wanted.size()) == 0)
      Found = &Candidate;
  return Found;
}

} // namespace cornellift::entry
