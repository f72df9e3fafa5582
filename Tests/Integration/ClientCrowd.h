#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace cornellift::integration {

/// Many connections from one thread to a loopback port. Each sends a text and reads nothing; all
/// stay open until the object is destroyed, unless the server closes them.
class ClientCrowd {
public:
  /// Opens a connection for each text.
  ClientCrowd(std::uint16_t Port, std::vector<std::string> Texts);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd &) = delete;
  ClientCrowd &operator=(const ClientCrowd &) = delete;

  /// Sends until each connection has taken all of its text or was closed, at most the given
  /// seconds. At most PieceBytes are sent at a time on one connection; the others have their turn
  /// in between.
  void send(std::size_t PieceBytes = 65536, int Seconds = 20);

  /// From now on, opens each connection again that the server has closed, and sends its text again.
  void stay();

private:
  struct Member {
    int Socket = -1;
    std::string Text;
    std::size_t Sent = 0;
    bool IsDone = false;
  };

  static void sendPiece(Member &Each, std::size_t PieceBytes);
  void reopen(Member &Each) const;

  std::uint16_t Port_;
  std::vector<Member> Members_;
  std::atomic<bool> IsEnding_{false};
  std::thread Thread_; ///< Runs once stay() was called; Members_ belongs to it then.
};

/// Largest resident memory that the process has had, in megabytes.
double peakMegabytes(int ProcessId);

/// Number of open descriptors of the process.
std::size_t openDescriptors(int ProcessId);

} // namespace cornellift::integration
