#include "Libraries/LibCore/NonBlockingWriter.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <log4cxx/helpers/transcoder.h>

namespace cornellift::core {
namespace {

/// A pipe that is ready takes this many bytes without blocking.
constexpr std::size_t MaximumWrite = PIPE_BUF;

bool isReady(int Descriptor) {
  pollfd Entry{Descriptor, POLLOUT, 0};
  return ::poll(&Entry, 1, 0) == 1 && (Entry.revents & POLLOUT) != 0;
}

} // namespace

bool NonBlockingWriter::writeRest() {
  while (!Rest_.empty()) {
    if (!isReady(Descriptor_))
      return false;
    auto Written = ::write(Descriptor_, Rest_.data(), std::min(Rest_.size(), MaximumWrite));
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      return false;
    Rest_.erase(0, static_cast<std::size_t>(Written));
  }
  return true;
}

void NonBlockingWriter::write(const log4cxx::LogString &Line, log4cxx::helpers::Pool & /*Pool*/) {
  std::lock_guard Guard(Mutex_);
  if (!writeRest()) {
    ++Dropped_;
    return;
  }
  LOG4CXX_ENCODE_CHAR(Encoded, Line);
  Rest_ = std::move(Encoded);
  auto Length = Rest_.size();
  bool IsUntouched = !writeRest() && Rest_.size() == Length;
  if (IsUntouched) {
    Rest_.clear();
    ++Dropped_;
  }
}

std::uint64_t NonBlockingWriter::dropped() const {
  std::lock_guard Guard(Mutex_);
  return Dropped_;
}

std::uint64_t NonBlockingWriter::takeDropped() {
  std::lock_guard Guard(Mutex_);
  if (Dropped_ == Taken_ || !writeRest() || !isReady(Descriptor_))
    return 0;
  return Dropped_ - std::exchange(Taken_, Dropped_);
}

} // namespace cornellift::core
