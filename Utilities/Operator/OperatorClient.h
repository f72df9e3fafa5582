#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornellift::operators {

/// Answer of an entry VM.
struct Reply {
  int Status = 0;
  nlohmann::json Body;
};

/// What became of a request without an answer.
enum class Delivery { NeverSent, MayHaveArrived };

/// Where the entry VMs are, and who asks.
struct EntryAddresses {
  std::vector<std::string> Addresses; ///< IP number and port, with "https://" in front for TLS.
  std::string Key;
  std::string CertificateFile; ///< PEM file for checking the entry VMs; the system's when empty.
};

/// Sends an operator's requests to entry VMs.
class OperatorClient {
public:
  explicit OperatorClient(EntryAddresses Entries) : Entries_(std::move(Entries)) {}

  std::size_t count() const { return Entries_.Addresses.size(); }

  /// Sends one request once to the entry VM of that number. Returns an empty optional with
  /// Unavailable, and sets Failure, when no whole answer came.
  std::optional<Reply> send(std::size_t Entry, const std::string &Method, const std::string &Path,
                            const std::string &Body, core::TimePoint Deadline,
                            Delivery &Failure) const;

  /// Reads from the first entry VM that answers with a status below 500. Returns an empty optional
  /// with the reason of the last one.
  std::optional<Reply> read(const std::string &Path, core::TimePoint Deadline) const;

private:
  EntryAddresses Entries_;
};

} // namespace cornellift::operators
