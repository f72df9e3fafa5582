#pragma once

#include "Libraries/LibMesh/Generated/Mesh.pb.h"
#include "Libraries/LibReactor/Asio.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::mesh {

namespace asio = boost::asio;
using reactor::Tcp;

/// What log lines say of a frame that a receiver cannot read.
struct UnreadableFrame {
  std::size_t Bytes = 0;
  std::uint64_t Sequence = 0; ///< Zero if the frame has none or it cannot be read either.
  int ContentField = 0;       ///< Field number of the content in Mesh.proto; zero if unknown.
};

/// Reads what it can of a serialised frame, whose content need not be valid.
UnreadableFrame describeFrame(std::string_view Serialised);

/// A TCP connection that carries length-prefixed frames: a 32-bit little-endian length followed by
/// the serialised message. Frames sent within one iteration of the event loop are written with one
/// system call. Pending operations keep the connection object alive.
class MeshConnection : public std::enable_shared_from_this<MeshConnection> {
public:
  struct Handlers {
    std::function<void(const Frame &)> OnFrame;
    std::function<void(const boost::system::error_code &)> OnClosed; ///< Called at most once.
  };

  MeshConnection(asio::io_context &Reactor, Tcp::socket Socket);

  /// Connects asynchronously. Calls OnOpened on success and Handlers::OnClosed on failure.
  void connect(const Tcp::endpoint &Remote, std::function<void()> OnOpened);

  /// Starts reading from a socket that is already connected.
  void start();

  void setHandlers(Handlers Callbacks) { Handlers_ = std::move(Callbacks); }

  void send(const Frame &Message);
  /// Sends a frame that is already serialised.
  void sendBytes(std::string_view Serialised);

  /// Closes the connection without calling Handlers::OnClosed.
  void close();

  bool isOpen() const { return IsOpen_; }

  /// The received frame that could not be read, for which the connection was closed; empty if there
  /// was none.
  const std::optional<UnreadableFrame> &unreadableFrame() const { return UnreadableFrame_; }

private:
  void readNext();
  void consume();
  void scheduleFlush();
  void flush();
  void fail(const boost::system::error_code &Error);
  void rejectFrame(const UnreadableFrame &Rejected, const boost::system::error_code &Error);

  asio::io_context &Reactor_;
  Tcp::socket Socket_;
  Handlers Handlers_;
  boost::beast::flat_buffer Incoming_;
  std::string Queued_;
  std::string Writing_;
  std::optional<UnreadableFrame> UnreadableFrame_;
  bool IsFlushScheduled_ = false;
  bool IsOpen_ = false;
  bool IsClosed_ = false;
};

} // namespace cornellift::mesh
