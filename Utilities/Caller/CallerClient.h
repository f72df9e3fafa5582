#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace cornellift::caller {

/// HTTP response of an entry VM.
struct Reply {
  int Status = 0;
  nlohmann::json Body;
};

/// Specifies whether a request without an answer may have reached the entry VM.
enum class Delivery { NeverSent, MayHaveArrived };

/// A caller's connections to the entry VMs and its unused job identifiers. Not thread-safe.
class CallerClient {
public:
  /// Addresses are IP addresses and ports, prefixed with "https://" for TLS.
  CallerClient(const std::vector<std::string> &Addresses, const std::string &Key,
               const std::string &CertificateFile = {});

  std::size_t count() const { return Entries_.size(); }

  /// Sends a request once, without retry, to the entry VM with index Entry. Returns an empty
  /// optional with Unavailable, and sets Failure, when no complete answer arrived; with Malformed
  /// when the address is invalid.
  std::optional<Reply> send(std::size_t Entry, const char *Method, const std::string &Path,
                            const std::string &Body, core::TimePoint Deadline, Delivery &Failure);

  /// Returns an identifier that was never sent, and sets Entry to the entry VM that issued it.
  /// Requests a block from the entry VMs in turn when none is left. Returns an empty optional with
  /// the last entry VM's error.
  std::optional<std::string> takeIdentifier(std::size_t &Entry, core::TimePoint Deadline);

  /// Stores a block of identifiers from an answer, if there is one.
  void keepBlock(std::size_t Entry, const nlohmann::json &Block);

  /// Discards the unused identifiers, for when their issuer does not answer.
  void dropBlocks() { Blocks_.clear(); }

private:
  struct Block {
    std::size_t Entry = 0;
    std::string Issuer;
    std::uint64_t Next = 0;
    std::uint64_t End = 0;
    core::TimePoint Deadline;
  };

  std::optional<std::string> takeFromBlocks(std::size_t &Entry);

  const std::string Key_;
  std::vector<std::unique_ptr<httplib::Client>> Entries_;
  std::vector<Block> Blocks_;
  std::size_t PreferredEntry_ =
      0; ///< First entry VM to request identifiers from; the last that issued some.
};

} // namespace cornellift::caller
