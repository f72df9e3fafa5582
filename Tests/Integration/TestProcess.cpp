#include "Tests/Integration/TestProcess.h"

#include "Libraries/LibCore/Reason.h"

#include <chrono>
#include <csignal>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cornellift::integration {
namespace {

constexpr auto PollInterval = std::chrono::milliseconds(10);
constexpr int SignalBase = 128;

int toExitStatus(int WaitStatus) {
  return WIFEXITED(WaitStatus) ? WEXITSTATUS(WaitStatus) : SignalBase + WTERMSIG(WaitStatus);
}

} // namespace

std::optional<TestProcess> TestProcess::start(std::string Program,
                                              std::vector<std::string> Arguments,
                                              const std::string &OutputFile) {
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, OutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char *> Pointers = {Program.data()};
  for (auto &Argument : Arguments)
    Pointers.push_back(Argument.data());
  Pointers.push_back(nullptr);
  pid_t Id = 0;
  int Error = posix_spawn(&Id, Program.c_str(), &Files, nullptr, Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Error != 0)
    return core::fail(core::ErrorKind::Unavailable, "cannot start " + Program + "; build it first");
  return TestProcess(Id);
}

TestProcess::TestProcess(TestProcess &&Other) noexcept
    : Id_(std::exchange(Other.Id_, 0)), Status_(Other.Status_), IsPaused_(Other.IsPaused_) {}

TestProcess &TestProcess::operator=(TestProcess &&Other) noexcept {
  std::swap(Id_, Other.Id_);
  std::swap(Status_, Other.Status_);
  std::swap(IsPaused_, Other.IsPaused_);
  return *this;
}

TestProcess::~TestProcess() {
  if (Id_ != 0)
    kill();
}

bool TestProcess::isRunning() { return Id_ != 0 && !waitForExit(0); }

void TestProcess::kill() {
  if (Status_ || Id_ == 0)
    return;
  ::kill(Id_, SIGKILL);
  int WaitStatus = 0;
  waitpid(Id_, &WaitStatus, 0);
  Status_ = toExitStatus(WaitStatus);
}

void TestProcess::pause() {
  if (std::exchange(IsPaused_, true))
    return; // waitpid() reports a stop only once; another wait would not return.
  ::kill(Id_, SIGSTOP);
  int WaitStatus = 0;
  waitpid(Id_, &WaitStatus, WUNTRACED);
  if (!WIFSTOPPED(WaitStatus))
    Status_ = toExitStatus(WaitStatus);
}

void TestProcess::resume() {
  IsPaused_ = false;
  ::kill(Id_, SIGCONT);
}

void TestProcess::terminate() { ::kill(Id_, SIGTERM); }

std::optional<int> TestProcess::waitForExit(int Seconds) {
  auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  while (!Status_) {
    int WaitStatus = 0;
    if (waitpid(Id_, &WaitStatus, WNOHANG) == Id_)
      Status_ = toExitStatus(WaitStatus);
    else if (std::chrono::steady_clock::now() >= Deadline)
      return core::fail(core::ErrorKind::Timeout, "the process has not ended yet");
    else
      std::this_thread::sleep_for(PollInterval);
  }
  return Status_;
}

} // namespace cornellift::integration
