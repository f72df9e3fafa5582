#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace cornellift::integration {

/// A child process of a test. Killed and reaped when the object is destroyed.
class TestProcess {
public:
  /// Starts a program of the build tree with its output in the given file. Returns an empty
  /// optional with Unavailable when it cannot be started.
  static std::optional<TestProcess> start(std::string Program, std::vector<std::string> Arguments,
                                          const std::string &OutputFile);

  TestProcess(TestProcess &&Other) noexcept;
  TestProcess &operator=(TestProcess &&Other) noexcept;
  TestProcess(const TestProcess &) = delete;
  TestProcess &operator=(const TestProcess &) = delete;
  ~TestProcess();

  pid_t id() const { return Id_; }
  bool isRunning();

  void kill();      ///< Sends SIGKILL and waits until the process has ended.
  void pause();     ///< Sends SIGSTOP and waits until the process has stopped.
  void resume();    ///< Continues a paused process.
  void terminate(); ///< Sends SIGTERM for a graceful stop; returns at once.

  /// Waits for the end and returns the exit status; 128 plus the signal when a signal ended it.
  /// Empty with Timeout after the given seconds.
  std::optional<int> waitForExit(int Seconds);

private:
  explicit TestProcess(pid_t Id) : Id_(Id) {}

  pid_t Id_ = 0;
  std::optional<int> Status_;
  bool IsPaused_ = false;
};

} // namespace cornellift::integration
