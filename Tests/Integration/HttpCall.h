#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornellift::integration {

/// Reply of one HTTP call. Status is zero when no complete reply arrived.
struct HttpReply {
  int Status = 0;
  nlohmann::json Body;
};

/// Makes one call to a loopback port on a connection of its own, waiting at most the given seconds.
HttpReply callHttp(std::uint16_t Port, std::string_view Method, const std::string &Path,
                   const std::string &Body, const std::string &Key, int Seconds = 30);

} // namespace cornellift::integration
