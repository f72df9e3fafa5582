#include "Libraries/LibPlatform/HttpPlatformStore.h"

#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibPlatform/StoreCall.h"

#include <nlohmann/json.hpp>

namespace cornellift::platform {
namespace {

using detail::CallState;
using detail::callStore;
using detail::StoreReply;

const core::PluginRegistration<PlatformStore, HttpPlatformStore, std::string> Registration("http");

constexpr int StatusOk = 200;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int FirstServerError = 500;

/// Sets the last reason for an error reply.
void setReason(const StoreReply &Reply) {
  if (Reply.State != CallState::Replied)
    return;
  if (Reply.Status == StatusNotFound)
    core::fail(core::ErrorKind::NotFound, "the platform's store has no such key");
  else if (Reply.Status == StatusConflict)
    core::fail(core::ErrorKind::Conflict, "the key has changed; read it again");
  else if (Reply.Status >= FirstServerError)
    core::fail(core::ErrorKind::Unavailable, "the platform's store replied with status " +
                                                 std::to_string(Reply.Status) + "; try later");
  else
    core::fail(core::ErrorKind::Malformed, "the platform's store refused the request with status " +
                                               std::to_string(Reply.Status) + ": " +
                                               Reply.Body.substr(0, 200));
}

std::optional<StoredValue> toValue(StoreReply Reply) {
  if (Reply.Status == StatusOk && Reply.Revision != 0)
    return StoredValue{std::move(Reply.Body), Reply.Revision};
  if (Reply.Status == StatusOk)
    return core::fail(core::ErrorKind::Malformed,
                      "the platform's store sent no revision; check its version");
  setReason(Reply);
  return std::nullopt;
}

VmRecord toVmRecord(const nlohmann::json &Value) {
  VmRecord Record;
  Record.Name = Value.at("name");
  Record.Address = Value.at("address");
  Record.DataCentre = Value.at("data_centre");
  Record.State = Value.value("state", "live") == "leaving" ? VmState::Leaving : VmState::Live;
  return Record;
}

} // namespace

HttpPlatformStore::HttpPlatformStore(std::string Address) : Address_(std::move(Address)) {}

std::optional<StoredValue> HttpPlatformStore::get(std::string_view Key, core::TimePoint Deadline) {
  return toValue(callStore(Address_, "GET", "/v1/keys/" + detail::escapeKey(Key), {}, Deadline));
}

SwapOutcome HttpPlatformStore::compareAndSwap(std::string_view Key, std::string_view Value,
                                              std::uint64_t Expected, core::TimePoint Deadline) {
  auto Path = "/v1/keys/" + detail::escapeKey(Key) + "?expect=" + std::to_string(Expected);
  auto Reply = callStore(Address_, "PUT", std::move(Path), Value, Deadline);
  setReason(Reply);
  if (Reply.State == CallState::NotSent)
    return SwapOutcome::Refused;
  if (Reply.Status == StatusOk)
    return SwapOutcome::Applied;
  if (Reply.Status == StatusConflict)
    return SwapOutcome::Conflict;
  // A status of 500 or above can come from an intermediary, after the store has made the write.
  if (Reply.State == CallState::NoReply || Reply.Status >= FirstServerError)
    return SwapOutcome::Unknown;
  return SwapOutcome::Refused;
}

bool HttpPlatformStore::remove(std::string_view Key, core::TimePoint Deadline) {
  auto Reply = callStore(Address_, "DELETE", "/v1/keys/" + detail::escapeKey(Key), {}, Deadline);
  if (Reply.Status == StatusOk)
    return true;
  setReason(Reply);
  return false;
}

std::optional<StoredValue> HttpPlatformStore::watch(std::string_view Key,
                                                    std::uint64_t AfterRevision,
                                                    core::TimePoint Deadline) {
  // The store replies when the wait ends; the rest of the deadline allows for a slow reply.
  constexpr auto ReplyTime = std::chrono::seconds(2);
  auto WaitUntil = core::toWallClock(Deadline - ReplyTime);
  auto Path = "/v1/watch/" + detail::escapeKey(Key) + "?after=" + std::to_string(AfterRevision) +
              "&wait_until=" + std::to_string(WaitUntil);
  auto Reply = callStore(Address_, "GET", std::move(Path), {}, Deadline);
  if (Reply.Status == StatusNoContent)
    return core::fail(core::ErrorKind::Timeout, "no change before the deadline; watch again");
  if (Reply.State != CallState::Replied)
    return core::fail(core::ErrorKind::Unavailable, core::Reason(core::lastReason()).Message);
  return toValue(std::move(Reply));
}

std::optional<std::vector<VmRecord>> HttpPlatformStore::listVms(core::TimePoint Deadline) {
  std::string KnownTag;
  {
    std::lock_guard Guard(Mutex_);
    KnownTag = ListTag_;
  }
  auto Reply = callStore(Address_, "GET", "/v1/vms", {}, Deadline, KnownTag);
  if (Reply.Status == StatusNotModified && !KnownTag.empty()) {
    std::lock_guard Guard(Mutex_);
    return List_;
  }
  if (Reply.Status != StatusOk) {
    setReason(Reply);
    return std::nullopt;
  }
  try {
    std::vector<VmRecord> Result;
    auto List = nlohmann::json::parse(Reply.Body);
    for (const auto &Value : List.at("vms"))
      Result.push_back(toVmRecord(Value));
    std::lock_guard Guard(Mutex_);
    ListTag_ = Reply.EntityTag;
    List_ = Result;
    return Result;
  } catch (const nlohmann::json::exception &Error) {
    return core::fail(core::ErrorKind::Malformed,
                      "the platform's list of VMs is malformed; check the platform's version: " +
                          std::string(Error.what()));
  }
}

} // namespace cornellift::platform
