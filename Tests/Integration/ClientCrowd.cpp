#include "Tests/Integration/ClientCrowd.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cornellift::integration {
namespace {

constexpr int PollMilliseconds = 100;
constexpr auto ReopenInterval = std::chrono::milliseconds(100);
constexpr double KilobytesPerMegabyte = 1024;

int connectTo(std::uint16_t Port) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // In progress; a failure shows when the text is sent.
  (void)::connect(Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  return Socket;
}

} // namespace

ClientCrowd::ClientCrowd(std::uint16_t Port, std::vector<std::string> Texts) : Port_(Port) {
  Members_.reserve(Texts.size());
  for (auto &Text : Texts)
    Members_.push_back({connectTo(Port), std::move(Text), 0, false});
}

ClientCrowd::~ClientCrowd() {
  IsEnding_ = true;
  if (Thread_.joinable())
    Thread_.join();
  for (const auto &Each : Members_)
    ::close(Each.Socket);
}

void ClientCrowd::send(std::size_t PieceBytes, int Seconds) {
  auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  while (std::chrono::steady_clock::now() < Deadline) {
    std::vector<pollfd> Watched;
    for (const auto &Each : Members_)
      if (!Each.IsDone)
        Watched.push_back({Each.Socket, POLLOUT, 0});
    if (Watched.empty())
      return;
    ::poll(Watched.data(), Watched.size(), PollMilliseconds);
    auto Next = Watched.begin();
    for (auto &Each : Members_)
      if (!Each.IsDone && (Next++)->revents != 0)
        sendPiece(Each, PieceBytes);
  }
}

void ClientCrowd::sendPiece(Member &Each, std::size_t PieceBytes) {
  auto Length = std::min(PieceBytes, Each.Text.size() - Each.Sent);
  auto Taken = ::send(Each.Socket, Each.Text.data() + Each.Sent, Length, MSG_NOSIGNAL);
  if (Taken >= 0)
    Each.Sent += static_cast<std::size_t>(Taken);
  bool HasFailed = Taken < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN;
  Each.IsDone = HasFailed || Each.Sent == Each.Text.size();
}

void ClientCrowd::stay() {
  Thread_ = std::thread([this] {
    for (; !IsEnding_; std::this_thread::sleep_for(ReopenInterval))
      for (auto &Each : Members_)
        reopen(Each);
  });
}

void ClientCrowd::reopen(Member &Each) const {
  char Byte = 0;
  auto Received = ::recv(Each.Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  bool IsClosed = Received == 0 || (Received < 0 && errno != EAGAIN && errno != EINTR);
  if (IsClosed) {
    ::close(Each.Socket);
    Each.Socket = connectTo(Port_);
    Each.Sent = 0;
    Each.IsDone = false;
  }
  if (!Each.IsDone)
    sendPiece(Each, Each.Text.size());
}

double peakMegabytes(int ProcessId) {
  std::ifstream Status("/proc/" + std::to_string(ProcessId) + "/status");
  for (std::string Word; Status >> Word;)
    if (double Kilobytes = 0; Word == "VmHWM:" && Status >> Kilobytes)
      return Kilobytes / KilobytesPerMegabyte;
  return 0;
}

std::size_t openDescriptors(int ProcessId) {
  auto Folder = std::filesystem::directory_iterator("/proc/" + std::to_string(ProcessId) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(Folder), end(Folder)));
}

} // namespace cornellift::integration
