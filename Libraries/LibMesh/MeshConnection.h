#pragma once

#include "Libraries/LibMesh/Generated/Mesh.pb.h"
#include "Libraries/LibReactor/Asio.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cornellift::mesh {

namespace asio = boost::asio;
using reactor::Tcp;

/// A TCP connection that carries frames: four bytes of length, least significant first, and a
/// message. Frames sent within one turn of the reactor leave in one system call. The connection
/// keeps itself alive while an operation is under way.
class MeshConnection : public std::enable_shared_from_this<MeshConnection> {
public:
  struct Handlers {
    std::function<void(const Frame &)> OnFrame;
    std::function<void(const boost::system::error_code &)> OnClosed; ///< At most once.
  };

  MeshConnection(asio::io_context &Reactor, Tcp::socket Socket);

  /// Connects; OnOpened is called on success, the handlers' OnClosed otherwise.
  void connect(const Tcp::endpoint &Remote, std::function<void()> OnOpened);

  /// Begins to read from a connected socket.
  void start();

  void setHandlers(Handlers Callbacks) { Handlers_ = std::move(Callbacks); }

  void send(const Frame &Message);
  /// Sends a frame that has been serialised before.
  void sendBytes(std::string_view Serialised);

  /// Closes without calling OnClosed.
  void close();

  bool isOpen() const { return IsOpen_; }

private:
  void readNext();
  void consume();
  void scheduleFlush();
  void flush();
  void fail(const boost::system::error_code &Error);

  asio::io_context &Reactor_;
  Tcp::socket Socket_;
  Handlers Handlers_;
  boost::beast::flat_buffer Incoming_;
  std::string Queued_;
  std::string Writing_;
  bool IsFlushScheduled_ = false;
  bool IsOpen_ = false;
  bool IsClosed_ = false;
};

} // namespace cornellift::mesh
