#pragma once

#include <cstdint>
#include <mutex>
#include <string>

#include <log4cxx/helpers/writer.h>

namespace cornellift::core {

/// Writes log lines to a file descriptor and never waits for its reader: lines that cannot be
/// written at once are dropped and counted. No line is torn, as the rest of one that was written in
/// part comes before the next.
class NonBlockingWriter final : public log4cxx::helpers::Writer {
public:
  explicit NonBlockingWriter(int Descriptor) : Descriptor_(Descriptor) {}

  void write(const log4cxx::LogString &Line, log4cxx::helpers::Pool &Pool) override;
  void flush(log4cxx::helpers::Pool & /*Pool*/) override {}
  void close(log4cxx::helpers::Pool & /*Pool*/) override {}

  std::uint64_t dropped() const;
  /// Returns how many lines were dropped since the last call, once lines can be written again; zero
  /// until then.
  std::uint64_t takeDropped();

private:
  /// Writes as much of Rest_ as is possible at once; returns whether that is all of it.
  bool writeRest();

  const int Descriptor_;
  mutable std::mutex Mutex_;
  std::string Rest_; ///< Of a line that was written in part.
  std::uint64_t Dropped_ = 0;
  std::uint64_t Taken_ = 0; ///< Dropped lines that takeDropped() has returned.
};

} // namespace cornellift::core
