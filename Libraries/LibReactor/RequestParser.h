#pragma once

#include "Libraries/LibReactor/HttpMessage.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::reactor {

/// A request as it was received. Its header is kept as one text: an allocation for each field would
/// cost many times the size of a header of very many short fields.
class ReceivedRequest {
public:
  HttpMethod method() const { return Method_; }
  std::string_view target() const { return std::string_view(Text_).substr(0, TargetBytes_); }
  /// Value of the first field of that name; empty if there is none.
  std::string_view header(std::string_view Name) const;
  std::string_view body() const { return Body_; }
  bool keepAlive() const { return KeepAlive_; }
  /// Returns whether the body was not kept because its target takes none.
  bool isBodyDropped() const { return IsBodyDropped_; }

  void releaseBody() { std::string().swap(Body_); }

  /// Allocated bytes.
  std::size_t memory() const {
    return Text_.capacity() + Fields_.capacity() * sizeof(Field) + Body_.capacity();
  }

private:
  friend class RequestParser;
  /// Offsets in Text_ where the name and the value begin and where the value ends.
  struct Field {
    std::uint32_t Name;
    std::uint32_t Value;
    std::uint32_t End;
  };

  HttpMethod Method_ = HttpMethod::Other;
  std::string Text_; ///< The target, then the names and values of the fields.
  std::uint32_t TargetBytes_ = 0;
  std::vector<Field> Fields_;
  std::string Body_;
  bool KeepAlive_ = false;
  bool IsBodyDropped_ = false;
};

/// Parses one request. Memory for a body grows with what has arrived, whatever length is stated.
class RequestParser final : public boost::beast::http::basic_parser<true> {
public:
  /// Returns whether the target takes a body. It is asked for the header of a request with a body
  /// that is not short.
  using BodyFilter = std::function<bool(const ReceivedRequest &)>;

  RequestParser(std::uint32_t HeaderBytes, std::uint64_t BodyBytes, const BodyFilter &TakesBody);

  const ReceivedRequest &request() const { return Request_; }
  /// Returns whether the header was read and the client holds back the body until it is asked.
  bool awaitsContinue() const { return AwaitsContinue_; }
  /// The complete request.
  ReceivedRequest release();

private:
  using Error = boost::system::error_code;
  using Text = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb Method, Text MethodName, Text Target, int Version,
                       Error &Failure) override;
  void on_response_impl(int Status, Text Reason, int Version, Error &Failure) override;
  void on_field_impl(boost::beast::http::field Known, Text Name, Text Value,
                     Error &Failure) override;
  void on_header_impl(Error &Failure) override;
  void on_body_init_impl(const boost::optional<std::uint64_t> &Length, Error &Failure) override;
  std::size_t on_body_impl(Text Part, Error &Failure) override;
  void on_chunk_header_impl(std::uint64_t Size, Text Extensions, Error &Failure) override;
  std::size_t on_chunk_body_impl(std::uint64_t Remaining, Text Part, Error &Failure) override;
  void on_finish_impl(Error &Failure) override;

  std::size_t bodyPartReceived(Text Part, Error &Failure);
  void append(Text Part);

  const std::uint32_t HeaderBytes_;
  const std::uint64_t BodyBytes_;
  const BodyFilter &TakesBody_;
  ReceivedRequest Request_;
  std::uint64_t BodyReceived_ = 0; ///< Including what was not kept.
  std::uint64_t BodyExpected_ = 0; ///< Most that may arrive.
  std::size_t HeaderReceived_ = 0; ///< Including fields behind the body.
  bool IsFilterAsked_ = false;
  bool IsVersionWithContinue_ = false; ///< HTTP/1.1 or later.
  bool AwaitsContinue_ = false;
};

} // namespace cornellift::reactor
