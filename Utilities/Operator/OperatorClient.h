#pragma once

#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornellift::operators {

/// HTTP response of an entry VM.
struct Reply {
  int Status = 0;
  nlohmann::json Body;
};

/// Specifies whether a request without an answer may have reached the entry VM.
enum class Delivery { NeverSent, MayHaveArrived };

/// Addresses of the entry VMs and the credentials for them.
struct EntryAddresses {
  std::vector<std::string> Addresses; ///< IP address and port; prefixed with "https://" for TLS.
  std::string Key;
  std::string CertificateFile; ///< PEM file of the trusted CAs; the system's when empty.
};

/// Sends an operator's requests to entry VMs.
class OperatorClient {
public:
  explicit OperatorClient(EntryAddresses Entries) : Entries_(std::move(Entries)) {}

  std::size_t count() const { return Entries_.Addresses.size(); }

  /// Sends a request once, without retry, to the entry VM with index Entry. Returns an empty
  /// optional with Unavailable, and sets Failure, when no complete answer arrived; with Malformed
  /// when the address is invalid.
  std::optional<Reply> send(std::size_t Entry, const std::string &Method, const std::string &Path,
                            const std::string &Body, core::TimePoint Deadline,
                            Delivery &Failure) const;

  /// Reads from the first entry VM that answers with a status below 500. Returns an empty optional
  /// with the last entry VM's error.
  std::optional<Reply> read(const std::string &Path, core::TimePoint Deadline) const;

private:
  EntryAddresses Entries_;
};

} // namespace cornellift::operators
