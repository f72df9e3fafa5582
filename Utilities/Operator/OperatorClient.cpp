#include "Utilities/Operator/OperatorClient.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>

#include <httplib.h>

namespace cornellift::operators {
namespace {

constexpr core::Duration ConnectTime = std::chrono::seconds(2);
constexpr core::Duration ShortestWait = std::chrono::milliseconds(1);
constexpr int FirstServerError = 500;

bool isNeverSent(httplib::Error Error) {
  return Error == httplib::Error::Connection || Error == httplib::Error::ConnectionTimeout ||
         Error == httplib::Error::SSLConnection || Error == httplib::Error::SSLLoadingCerts ||
         Error == httplib::Error::SSLServerVerification;
}

std::string withScheme(const std::string &Address) {
  return Address.starts_with("http") ? Address : "http://" + Address;
}

} // namespace

std::optional<Reply> OperatorClient::send(std::size_t Entry, const std::string &Method,
                                          const std::string &Path, const std::string &Body,
                                          core::TimePoint Deadline, Delivery &Failure) const {
  const auto &Address = Entries_.Addresses[Entry];
  Failure = Delivery::NeverSent;
  httplib::Client Client(withScheme(Address));
  if (!Client.is_valid())
    return core::fail(core::ErrorKind::Malformed,
                      Address + " is not a valid address; give addresses such as 10.0.0.5:8080");
  auto Wait = std::max(Deadline - core::MonotonicClock::now(), ShortestWait);
  Client.set_connection_timeout(std::min(Wait, ConnectTime));
  Client.set_read_timeout(Wait);
  Client.set_write_timeout(Wait);
  if (!Entries_.CertificateFile.empty())
    Client.set_ca_cert_path(Entries_.CertificateFile);
  httplib::Request Request;
  Request.method = Method;
  Request.path = Path;
  Request.body = Body;
  Request.set_header("X-Cornellift-Key", Entries_.Key);
  auto Result = Client.send(Request);
  if (!Result) {
    if (!isNeverSent(Result.error()))
      Failure = Delivery::MayHaveArrived;
    return core::fail(core::ErrorKind::Unavailable,
                      Address + " sent no complete answer (" + httplib::to_string(Result.error()) +
                          "); give more entry VMs with --entry, or try again later");
  }
  auto Parsed = nlohmann::json::parse(Result->body, nullptr, false);
  if (Parsed.is_object())
    return Reply{Result->status, std::move(Parsed)};
  Failure = Delivery::MayHaveArrived;
  return core::fail(core::ErrorKind::Unavailable,
                    Address + " did not answer with a JSON object; check the address");
}

std::optional<Reply> OperatorClient::read(const std::string &Path, core::TimePoint Deadline) const {
  for (std::size_t Entry = 0; Entry < count(); ++Entry) {
    Delivery Failure{};
    auto Answer = send(Entry, "GET", Path, {}, Deadline, Failure);
    if (Answer && Answer->Status < FirstServerError)
      return Answer;
    if (Answer)
      core::fail(core::ErrorKind::Unavailable,
                 Answer->Body.value("message", "status " + std::to_string(Answer->Status)));
  }
  return std::nullopt;
}

} // namespace cornellift::operators
