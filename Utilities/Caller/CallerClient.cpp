#include "Utilities/Caller/CallerClient.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <chrono>

namespace cornellift::caller {
namespace {

using Json = nlohmann::json;

constexpr core::Duration ConnectTime = std::chrono::seconds(2);
constexpr core::Duration ShortestWait = std::chrono::milliseconds(1);

/// An identifier is not used this close to its deadline, since the request could arrive after it.
constexpr core::Duration DeadlineMargin = std::chrono::seconds(30);

bool isNeverSent(httplib::Error Error) {
  return Error == httplib::Error::Connection || Error == httplib::Error::ConnectionTimeout ||
         Error == httplib::Error::SSLConnection || Error == httplib::Error::SSLLoadingCerts ||
         Error == httplib::Error::SSLServerVerification;
}

std::string withScheme(const std::string &Address) {
  return Address.starts_with("http") ? Address : "http://" + Address;
}

} // namespace

CallerClient::CallerClient(const std::vector<std::string> &Addresses, const std::string &Key,
                           const std::string &CertificateFile)
    : Key_(Key) {
  for (const auto &Address : Addresses) {
    auto Client = std::make_unique<httplib::Client>(withScheme(Address));
    Client->set_keep_alive(true);
    Client->set_tcp_nodelay(true);
    Client->set_follow_location(false);
    if (!CertificateFile.empty())
      Client->set_ca_cert_path(CertificateFile);
    Entries_.push_back(std::move(Client));
  }
}

std::optional<Reply> CallerClient::send(std::size_t Entry, const char *Method,
                                        const std::string &Path, const std::string &Body,
                                        core::TimePoint Deadline, Delivery &Failure) {
  auto &Client = *Entries_[Entry];
  Failure = Delivery::NeverSent;
  if (!Client.is_valid())
    return core::fail(core::ErrorKind::Malformed,
                      "an entry address is not valid; give addresses such as 10.0.0.5:8080");
  auto Wait = std::max(Deadline - core::MonotonicClock::now(), ShortestWait);
  Client.set_connection_timeout(std::min(Wait, ConnectTime));
  Client.set_read_timeout(Wait);
  Client.set_write_timeout(Wait);
  httplib::Request Request;
  Request.method = Method;
  Request.path = Path;
  Request.body = Body;
  Request.set_header("X-Cornellift-Key", Key_);
  auto Result = Client.send(Request);
  if (!Result) {
    if (!isNeverSent(Result.error()))
      Failure = Delivery::MayHaveArrived;
    return core::fail(core::ErrorKind::Unavailable,
                      "the entry VM sent no complete answer (" +
                          httplib::to_string(Result.error()) +
                          "); give more entry VMs or try again later");
  }
  auto Parsed = Json::parse(Result->body, nullptr, false);
  if (Parsed.is_object())
    return Reply{Result->status, std::move(Parsed)};
  Failure = Delivery::MayHaveArrived;
  return core::fail(core::ErrorKind::Unavailable,
                    "the answer is not a JSON object; check the address");
}

std::optional<std::string> CallerClient::takeIdentifier(std::size_t &Entry,
                                                        core::TimePoint Deadline) {
  if (auto Kept = takeFromBlocks(Entry))
    return Kept;
  for (std::size_t Tried = 0; Tried < Entries_.size(); ++Tried) {
    auto Number = (PreferredEntry_ + Tried) % Entries_.size();
    Delivery Failure{};
    auto Answer = send(Number, "POST", "/v1/sessions", "", Deadline, Failure);
    if (!Answer)
      continue;
    if (Answer->Status != 200 || !Answer->Body.contains("identifiers")) {
      core::fail(
          Answer->Status == 401 ? core::ErrorKind::Unauthorized : core::ErrorKind::Unavailable,
          Answer->Body.value("message",
                             std::string("the answer holds no identifiers; try again later")));
      continue;
    }
    PreferredEntry_ = Number;
    keepBlock(Number, Answer->Body["identifiers"]);
    return takeFromBlocks(Entry);
  }
  return std::nullopt;
}

void CallerClient::keepBlock(std::size_t Entry, const Json &Block) {
  if (!Block.is_object() || !Block.contains("issuer"))
    return;
  auto First = Block.value("first", std::uint64_t(0));
  Blocks_.push_back({Entry, Block.value("issuer", std::string()), First,
                     First + Block.value("count", std::uint64_t(0)),
                     core::fromWallClock(Block.value("deadline_ms", std::int64_t(0)))});
}

std::optional<std::string> CallerClient::takeFromBlocks(std::size_t &Entry) {
  auto Now = core::MonotonicClock::now();
  std::erase_if(Blocks_, [Now](const Block &Candidate) {
    return Candidate.Next >= Candidate.End || Candidate.Deadline - DeadlineMargin <= Now;
  });
  if (Blocks_.empty())
    return core::fail(core::ErrorKind::Expired,
                      "no unused identifier is left; request a new block");
  auto &Current = Blocks_.front();
  Entry = Current.Entry;
  return Current.Issuer + "." + std::to_string(Current.Next++);
}

} // namespace cornellift::caller
