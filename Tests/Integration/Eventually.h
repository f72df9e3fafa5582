#pragma once

#include <chrono>
#include <thread>

namespace cornellift::integration {

/// Returns whether the condition holds within the limit.
template <typename Condition> bool eventually(Condition Holds, std::chrono::seconds Limit) {
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (std::chrono::steady_clock::now() < Deadline) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

} // namespace cornellift::integration
