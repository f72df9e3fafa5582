#include "Services/FaultProxy/ProxySession.h"

#include "Services/FaultProxy/Link.h"

#include <chrono>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace cornellift::fault {

ProxySession::ProxySession(boost::asio::io_context &Context, std::shared_ptr<Link> Owner,
                           Tcp::socket Incoming)
    : Owner_(std::move(Owner)), Incoming_(std::move(Incoming)), Outgoing_(Context),
      UpDelay_(Context), DownDelay_(Context) {}

void ProxySession::start() {
  Outgoing_.async_connect(Owner_->target(),
                          [Self = shared_from_this()](boost::system::error_code Error) {
                            if (Error)
                              return Self->close();
                            boost::system::error_code Ignored;
                            Self->Incoming_.set_option(Tcp::no_delay(true), Ignored);
                            Self->Outgoing_.set_option(Tcp::no_delay(true), Ignored);
                            Self->read(Self->Up_);
                            Self->read(Self->Down_);
                          });
}

void ProxySession::apply(FaultAction Action) {
  switch (Action) {
  case FaultAction::Cut:
    return close();
  case FaultAction::Silence:
    Up_.Silent = true;
    Down_.Silent = true;
    return;
  case FaultAction::SilenceUp:
    Up_.Silent = true;
    return;
  case FaultAction::SilenceDown:
    Down_.Silent = true;
    return;
  case FaultAction::SwallowReply:
    SwallowReply_ = true;
    return;
  }
}

void ProxySession::read(ForwardStream &Stream) {
  source(Stream).async_read_some(
      boost::asio::buffer(Stream.Block),
      [Self = shared_from_this(), &Stream](boost::system::error_code Error, std::size_t Size) {
        // A silenced connection stays open towards the side that has not closed it.
        if (Error && (Self->Up_.Silent || Self->Down_.Silent))
          return;
        if (Error)
          return Self->close();
        Stream.Size = Size;
        Self->received(Stream);
      });
}

void ProxySession::received(ForwardStream &Stream) {
  auto Fired = Owner_->inspect(Stream.Towards, std::string_view(Stream.Block.data(), Stream.Size));
  if (Fired && Fired->BeforeForwarding) {
    apply(Fired->Action);
    if (Fired->Action != FaultAction::Cut)
      read(Stream);
    return;
  }
  if (Stream.Towards == Direction::Down && SwallowReply_)
    return close();
  if (Stream.Silent)
    return read(Stream);
  if (!Fired)
    return forward(Stream);
  // The block is forwarded before the fault takes effect.
  boost::system::error_code Error;
  boost::asio::write(sink(Stream), boost::asio::buffer(Stream.Block.data(), Stream.Size), Error);
  apply(Fired->Action);
  if (Fired->Action != FaultAction::Cut)
    read(Stream);
}

void ProxySession::forward(ForwardStream &Stream) {
  auto Delay = Owner_->delayMilliseconds();
  if (Delay == 0)
    return write(Stream);
  auto &Timer = Stream.Towards == Direction::Up ? UpDelay_ : DownDelay_;
  Timer.expires_after(std::chrono::milliseconds(Delay));
  Timer.async_wait([Self = shared_from_this(), &Stream](boost::system::error_code Error) {
    if (!Error)
      Self->write(Stream);
  });
}

void ProxySession::write(ForwardStream &Stream) {
  boost::asio::async_write(
      sink(Stream), boost::asio::buffer(Stream.Block.data(), Stream.Size),
      [Self = shared_from_this(), &Stream](boost::system::error_code Error, std::size_t /*Size*/) {
        if (Error && !Self->Up_.Silent && !Self->Down_.Silent)
          return Self->close();
        Self->read(Stream);
      });
}

void ProxySession::close() {
  boost::system::error_code Ignored;
  Incoming_.close(Ignored);
  Outgoing_.close(Ignored);
  UpDelay_.cancel();
  DownDelay_.cancel();
  Owner_->remove(shared_from_this());
}

} // namespace cornellift::fault
