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

/// Answer of an entry VM.
struct Reply {
  int Status = 0;
  nlohmann::json Body;
};

/// What became of a request without an answer.
enum class Delivery { NeverSent, MayHaveArrived };

/// Entry VMs as one caller sees them. Not safe for use by several threads.
class CallerClient {
public:
  /// Addresses are IP addresses and ports, with "https://" in front for TLS.
  CallerClient(const std::vector<std::string> &Addresses, const std::string &Key,
               const std::string &CertificateFile = {});

  std::size_t count() const { return Entries_.size(); }

  /// Sends one request once to the entry VM of that number. Returns an empty optional with
  /// Unavailable, and sets Failure, when no whole answer came.
  std::optional<Reply> send(std::size_t Entry, const char *Method, const std::string &Path,
                            const std::string &Body, core::TimePoint Deadline, Delivery &Failure);

  /// An identifier that was never sent, and the entry VM to send it to. Asks the entry VMs in turn
  /// for a block when none is left. Returns an empty optional with the last VM's reason.
  std::optional<std::string> takeIdentifier(std::size_t &Entry, core::TimePoint Deadline);

  /// Adds the block of an answer, if it has one.
  void keepBlock(std::size_t Entry, const nlohmann::json &Block);

  /// Forgets the unused identifiers, because their issuer does not answer.
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
  std::size_t PreferredEntry_ = 0; ///< Asked first for identifiers; the one that answered last.
};

} // namespace cornellift::caller
