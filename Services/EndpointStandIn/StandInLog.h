#pragma once

#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace cornellift::standin {

/// Writes one JSON line per start and end of a task, for tests to count. Thread-safe.
class StandInLog {
public:
  /// Appends to the file; writes nothing when the path is empty.
  explicit StandInLog(const std::string &Path);

  bool isOpen() const { return Path_.empty() || File_.is_open(); }

  void write(std::string_view Event, std::string_view Task, std::string_view Endpoint,
             std::string_view Boot);

private:
  const std::string Path_;
  std::mutex Mutex_;
  std::ofstream File_;
};

} // namespace cornellift::standin
