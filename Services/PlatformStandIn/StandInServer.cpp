#include "Services/PlatformStandIn/StandInServer.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <optional>
#include <thread>

#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace cornellift::standin {
namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr auto JsonType = "application/json";
constexpr auto RevisionHeader = "X-Revision";
constexpr std::int64_t MaximumWatchMilliseconds = 60'000;
constexpr std::int64_t MaximumSlowMilliseconds = 60'000;
constexpr std::int64_t MaximumLeaseMilliseconds = 3'600'000;

std::optional<std::int64_t> numberParameter(const Request &Call, const char *Name) {
  auto Text = Call.get_param_value(Name);
  std::int64_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() || Value < 0)
    return core::fail(core::ErrorKind::Malformed,
                      std::string("give the parameter \"") + Name + "\" as a whole number");
  return Value;
}

void replyError(Response &Reply, int Status) {
  Reply.status = Status;
  Reply.set_content(json{{"error", core::lastReason().Message}}.dump(), JsonType);
}

void replyEntry(Response &Reply, const Entry &Found) {
  Reply.set_header(RevisionHeader, std::to_string(Found.Revision));
  Reply.set_content(Found.Value, JsonType);
}

/// httplib's default adds SO_REUSEPORT, with which two servers could share a port by mistake.
void allowAddressReuse(socket_t Socket) {
  int Yes = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
}

} // namespace

StandInServer::StandInServer(std::size_t Threads) {
  Server_.new_task_queue = [Threads] { return new httplib::ThreadPool(Threads); };
  Server_.set_socket_options(allowAddressReuse);
  Server_.set_payload_max_length(MaximumValueBytes);
  Server_.set_tcp_nodelay(true);
  Server_.set_pre_routing_handler(
      [this](const Request &Call, Response &Reply) { return applyFaults(Call, Reply); });
  Server_.set_logger([this](const Request &Call, const Response &Reply) { count(Call, Reply); });
  addKeyRoutes();
  addLeaseRoutes();
  addControlRoutes();
}

int StandInServer::bind(int Port) {
  if (Port == 0)
    return Server_.bind_to_any_port("127.0.0.1");
  return Server_.bind_to_port("127.0.0.1", Port) ? Port : -1;
}

void StandInServer::serve() { Server_.listen_after_bind(); }

void StandInServer::stop() {
  Table_.stop();
  Server_.stop();
}

void StandInServer::addKeyRoutes() {
  Server_.Get("/v1/keys/(.+)", [this](const Request &Call, Response &Reply) { get(Call, Reply); });
  Server_.Put("/v1/keys/(.+)", [this](const Request &Call, Response &Reply) { put(Call, Reply); });
  Server_.Delete("/v1/keys/(.+)",
                 [this](const Request &Call, Response &Reply) { remove(Call, Reply); });
  Server_.Get("/v1/watch/(.+)",
              [this](const Request &Call, Response &Reply) { watch(Call, Reply); });
  Server_.Get("/v1/vms", [this](const Request &Call, Response &Reply) { listVms(Call, Reply); });
}

void StandInServer::addLeaseRoutes() {
  Server_.Post("/v1/leases",
               [this](const Request &Call, Response &Reply) { grantLease(Call, Reply); });
  Server_.Put("/v1/leases/([0-9]{1,18})", [this](const Request &Call, Response &Reply) {
    ++Counters_.Writes;
    if (!Table_.renewLease(std::stoull(Call.matches[1])))
      replyError(Reply, 404);
  });
}

void StandInServer::addControlRoutes() {
  Server_.Put("/control/faults",
              [this](const Request &Call, Response &Reply) { setFaults(Call, Reply); });
  Server_.Put("/control/vms", [this](const Request &Call, Response &) { Vms_.set(Call.body); });
  Server_.Get("/control/counters", [this](const Request &, Response &Reply) {
    Reply.set_content(countersText(), JsonType);
  });
}

void StandInServer::get(const Request &Call, Response &Reply) {
  ++Counters_.Reads;
  auto Found = Table_.get(Call.matches[1].str());
  if (!Found)
    return replyError(Reply, 404);
  replyEntry(Reply, *Found);
}

void StandInServer::put(const Request &Call, Response &Reply) {
  ++Counters_.Writes;
  auto Expected = numberParameter(Call, "expect");
  if (!Expected)
    return replyError(Reply, 400);
  auto Lease = Call.has_param("lease") ? numberParameter(Call, "lease") : 0;
  if (!Lease)
    return replyError(Reply, 400);
  auto Result =
      Table_.compareAndSwap(Call.matches[1].str(), Call.body, static_cast<std::uint64_t>(*Expected),
                            static_cast<std::uint64_t>(*Lease));
  if (!Result)
    return replyError(Reply, core::lastReason().Kind == core::ErrorKind::NotFound ? 404 : 507);
  Reply.status = Result->Applied ? 200 : 409;
  Reply.set_header(RevisionHeader, std::to_string(Result->Revision));
  Reply.set_content("{}", JsonType);
  if (Result->Applied)
    dropReplyIfRequested(Reply);
}

void StandInServer::remove(const Request &Call, Response &Reply) {
  ++Counters_.Writes;
  if (!Table_.remove(Call.matches[1].str()))
    return replyError(Reply, 404);
  dropReplyIfRequested(Reply);
}

void StandInServer::watch(const Request &Call, Response &Reply) {
  ++Counters_.Watches;
  auto After = numberParameter(Call, "after");
  auto WaitUntil = After ? numberParameter(Call, "wait_until") : std::nullopt;
  if (!WaitUntil)
    return replyError(Reply, 400);
  auto Latest = core::wallClockMilliseconds() + MaximumWatchMilliseconds;
  auto Found = Table_.watch(Call.matches[1].str(), static_cast<std::uint64_t>(*After),
                            core::fromWallClock(std::min(*WaitUntil, Latest)));
  if (!Found && core::lastReason().Kind == core::ErrorKind::Timeout) {
    Reply.status = 204;
    return;
  }
  // A watch that was pending when the service went down fails as well.
  if (Faults_.Down) {
    Reply.status = 503;
    return;
  }
  if (!Found)
    return replyError(Reply, 404);
  replyEntry(Reply, *Found);
}

void StandInServer::listVms(const Request &Call, Response &Reply) {
  ++Counters_.VmLists;
  auto List = Vms_.visible();
  auto Tag = '"' + std::to_string(std::hash<std::string>()(List)) + '"';
  Reply.set_header("ETag", Tag);
  if (Call.get_header_value("If-None-Match") == Tag)
    Reply.status = 304;
  else
    Reply.set_content(List, JsonType);
}

void StandInServer::count(const Request &Call, const Response &Reply) {
  if (Call.path.starts_with("/control/"))
    return;
  // Approximate size of the parts that are not counted below: "HTTP/1.1" and the line ends of the
  // request and status lines, the status with its text, and the blank lines.
  constexpr std::size_t FirstLineBytes = 40;
  auto Bytes = FirstLineBytes + Call.method.size() + Call.target.size() + Call.body.size() +
               Reply.body.size();
  for (const auto *Headers : {&Call.headers, &Reply.headers})
    for (const auto &[Name, Value] : *Headers)
      // httplib adds the addresses as headers with these prefixes.
      if (!Name.starts_with("REMOTE_") && !Name.starts_with("LOCAL_"))
        Bytes += Name.size() + Value.size() + 4;
  Counters_.Bytes += Bytes;
}

void StandInServer::grantLease(const Request &Call, Response &Reply) {
  ++Counters_.Writes;
  auto Lifetime = numberParameter(Call, "lifetime_ms");
  if (!Lifetime || *Lifetime < 1 || *Lifetime > MaximumLeaseMilliseconds) {
    core::fail(core::ErrorKind::Malformed, "give lifetime_ms from 1 to 3600000");
    return replyError(Reply, 400);
  }
  auto Lease = Table_.grantLease(std::chrono::milliseconds(*Lifetime));
  Reply.set_content(json{{"lease", Lease}}.dump(), JsonType);
}

void StandInServer::setFaults(const Request &Call, Response &Reply) {
  auto Wanted = json::parse(Call.body, nullptr, false);
  if (!Wanted.is_object()) {
    core::fail(core::ErrorKind::Malformed, "send a JSON object with the switches to set");
    return replyError(Reply, 400);
  }
  try {
    Faults_.Down = Wanted.value("down", Faults_.Down.load());
    Faults_.SlowMilliseconds = std::clamp(Wanted.value("slow_ms", Faults_.SlowMilliseconds.load()),
                                          std::int64_t{0}, MaximumSlowMilliseconds);
    Faults_.WriteRepliesToDrop = Wanted.value("swallow_writes", Faults_.WriteRepliesToDrop.load());
    if (Wanted.contains("vm_lag_ms"))
      Vms_.setLag(std::chrono::milliseconds(Wanted.at("vm_lag_ms").get<std::uint32_t>()));
  } catch (const json::exception &Error) {
    core::fail(core::ErrorKind::Malformed, Error.what());
    replyError(Reply, 400);
  }
}

std::string StandInServer::countersText() const {
  return json{{"reads", Counters_.Reads.load()},
              {"writes", Counters_.Writes.load()},
              {"watches", Counters_.Watches.load()},
              {"vm_lists", Counters_.VmLists.load()},
              {"bytes", Counters_.Bytes.load()}}
      .dump();
}

httplib::Server::HandlerResponse StandInServer::applyFaults(const Request &Call, Response &Reply) {
  if (Call.path.starts_with("/control/"))
    return httplib::Server::HandlerResponse::Unhandled;
  if (auto Delay = Faults_.SlowMilliseconds.load(); Delay > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Delay));
  if (!Faults_.Down)
    return httplib::Server::HandlerResponse::Unhandled;
  Reply.status = 503;
  return httplib::Server::HandlerResponse::Handled;
}

void StandInServer::dropReplyIfRequested(Response &Reply) {
  auto Left = Faults_.WriteRepliesToDrop.load();
  while (Left > 0 && !Faults_.WriteRepliesToDrop.compare_exchange_weak(Left, Left - 1)) {
  }
  if (Left <= 0)
    return;
  // A content provider that fails before its first byte makes httplib close the connection.
  Reply.headers.clear();
  Reply.body.clear();
  // httplib must not compress this content type, since compression would end the reply well-formed.
  Reply.set_content_provider(1, "application/octet-stream",
                             [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

} // namespace cornellift::standin
