#include "Libraries/LibMesh/MeshConnection.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <cstring>
#include <utility>

namespace cornellift::mesh {
namespace {

constexpr std::size_t PrefixBytes = 4;
constexpr std::size_t ReadBytes = 16384;
/// Upper bound on the length of a frame. The largest legitimate one is a configuration, which takes
/// some hundred kilobytes at the fleet size planned for two years ahead.
constexpr std::uint32_t MaximumFrameBytes = 8U << 20;

std::uint32_t readPrefix(const unsigned char *Bytes) {
  return static_cast<std::uint32_t>(Bytes[0]) | static_cast<std::uint32_t>(Bytes[1]) << 8 |
         static_cast<std::uint32_t>(Bytes[2]) << 16 | static_cast<std::uint32_t>(Bytes[3]) << 24;
}

void appendPrefix(std::string &Out, std::uint32_t Length) {
  for (unsigned Shift = 0; Shift < 32; Shift += 8)
    Out.push_back(static_cast<char>((Length >> Shift) & 0xFF));
}

} // namespace

UnreadableFrame describeFrame(std::string_view Serialised) {
  using google::protobuf::internal::WireFormatLite;
  UnreadableFrame Described{Serialised.size(), 0, 0};
  google::protobuf::io::CodedInputStream Input(
      reinterpret_cast<const std::uint8_t *>(Serialised.data()),
      static_cast<int>(Serialised.size()));
  while (auto Tag = Input.ReadTag()) {
    int Field = WireFormatLite::GetTagFieldNumber(Tag);
    bool IsSequence = Field == Frame::kSequenceFieldNumber;
    if (!IsSequence)
      Described.ContentField = Field;
    bool IsRead = IsSequence ? Input.ReadVarint64(&Described.Sequence)
                             : WireFormatLite::SkipField(&Input, Tag);
    if (!IsRead)
      break;
  }
  return Described;
}

MeshConnection::MeshConnection(asio::io_context &Reactor, Tcp::socket Socket)
    : Reactor_(Reactor), Socket_(std::move(Socket)) {}

void MeshConnection::connect(const Tcp::endpoint &Remote, std::function<void()> OnOpened) {
  Socket_.async_connect(Remote, [Self = shared_from_this(),
                                 OnOpened = std::move(OnOpened)](boost::system::error_code Error) {
    if (Self->IsClosed_)
      return;
    if (Error)
      return Self->fail(Error);
    Self->start();
    OnOpened();
  });
}

void MeshConnection::start() {
  boost::system::error_code Ignored; // The connection works without the option, too.
  Socket_.set_option(Tcp::no_delay(true), Ignored);
  IsOpen_ = true;
  readNext();
}

void MeshConnection::send(const Frame &Message) { sendBytes(Message.SerializeAsString()); }

void MeshConnection::sendBytes(std::string_view Serialised) {
  if (IsClosed_)
    return;
  appendPrefix(Queued_, static_cast<std::uint32_t>(Serialised.size()));
  Queued_.append(Serialised);
  scheduleFlush();
}

void MeshConnection::close() {
  if (std::exchange(IsClosed_, true))
    return;
  IsOpen_ = false;
  Handlers_ = {};
  boost::system::error_code Ignored; // The connection is abandoned in any case.
  Socket_.close(Ignored);
}

void MeshConnection::readNext() {
  Socket_.async_read_some(
      Incoming_.prepare(ReadBytes),
      [Self = shared_from_this()](boost::system::error_code Error, std::size_t Count) {
        if (Self->IsClosed_)
          return;
        if (Error)
          return Self->fail(Error);
        Self->Incoming_.commit(Count);
        Self->consume();
        if (!Self->IsClosed_)
          Self->readNext();
      });
}

void MeshConnection::consume() {
  while (!IsClosed_ && Incoming_.size() >= PrefixBytes) {
    const auto *Bytes = static_cast<const unsigned char *>(Incoming_.data().data());
    auto Length = readPrefix(Bytes);
    if (Length > MaximumFrameBytes)
      return rejectFrame({Length, 0, 0}, asio::error::message_size);
    if (Incoming_.size() < PrefixBytes + Length)
      return;
    Frame Message;
    std::string_view Serialised(reinterpret_cast<const char *>(Bytes) + PrefixBytes, Length);
    if (!Message.ParseFromArray(Serialised.data(), static_cast<int>(Length)))
      return rejectFrame(describeFrame(Serialised), asio::error::invalid_argument);
    Incoming_.consume(PrefixBytes + Length);
    if (Handlers_.OnFrame) {
      auto OnFrame = Handlers_.OnFrame; // Copied, since the handler may replace the handlers.
      OnFrame(Message);
    }
  }
}

void MeshConnection::rejectFrame(const UnreadableFrame &Rejected,
                                 const boost::system::error_code &Error) {
  UnreadableFrame_ = Rejected;
  fail(Error);
}

void MeshConnection::scheduleFlush() {
  if (IsFlushScheduled_ || !Writing_.empty() || !IsOpen_)
    return;
  IsFlushScheduled_ = true;
  asio::post(Reactor_, [Self = shared_from_this()] {
    Self->IsFlushScheduled_ = false;
    Self->flush();
  });
}

void MeshConnection::flush() {
  if (IsClosed_ || Queued_.empty() || !Writing_.empty())
    return;
  std::swap(Writing_, Queued_);
  asio::async_write(Socket_, asio::buffer(Writing_),
                    [Self = shared_from_this()](boost::system::error_code Error, std::size_t) {
                      Self->Writing_.clear();
                      if (Error)
                        return Self->fail(Error);
                      Self->flush();
                    });
}

void MeshConnection::fail(const boost::system::error_code &Error) {
  if (IsClosed_)
    return;
  auto OnClosed = std::move(Handlers_.OnClosed);
  auto Self = shared_from_this();
  close();
  if (OnClosed)
    OnClosed(Error);
}

} // namespace cornellift::mesh
