#include "Libraries/LibReactor/RequestParser.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <utility>

namespace cornellift::reactor {
namespace {

namespace http = boost::beast::http;

/// Bodies up to this size are kept without asking whether their target takes one.
constexpr std::uint64_t ShortBodyBytes = 4096;
/// HTTP/1.1, as the parser states versions.
constexpr int FirstVersionWithContinue = 11;
/// Memory reserved for the header of a request.
constexpr std::size_t UsualHeaderBytes = 256;
constexpr std::size_t UsualFields = 8;
/// Bytes of a header line besides its name and value: the colon and the line's end.
constexpr std::size_t FieldSeparatorBytes = 3;

HttpMethod methodOf(http::verb Method) {
  switch (Method) {
  case http::verb::get:
    return HttpMethod::Get;
  case http::verb::post:
    return HttpMethod::Post;
  case http::verb::delete_:
    return HttpMethod::Delete;
  default:
    return HttpMethod::Other;
  }
}

} // namespace

std::string_view ReceivedRequest::header(std::string_view Name) const {
  std::string_view All = Text_;
  for (const auto &Each : Fields_) {
    auto Candidate = All.substr(Each.Name, Each.Value - Each.Name);
    if (boost::beast::iequals({Candidate.data(), Candidate.size()}, {Name.data(), Name.size()}))
      return All.substr(Each.Value, Each.End - Each.Value);
  }
  return {};
}

RequestParser::RequestParser(std::uint32_t HeaderBytes, std::uint64_t BodyBytes,
                             const BodyFilter &TakesBody)
    : HeaderBytes_(HeaderBytes), BodyBytes_(BodyBytes), TakesBody_(TakesBody) {
  header_limit(HeaderBytes);
  body_limit(BodyBytes);
  eager(true);
}

ReceivedRequest RequestParser::release() {
  Request_.KeepAlive_ = keep_alive();
  return std::move(Request_);
}

void RequestParser::on_request_impl(http::verb Method, Text /*MethodName*/, Text Target,
                                    int Version, Error & /*Failure*/) {
  IsVersionWithContinue_ = Version >= FirstVersionWithContinue;
  Request_.Method_ = methodOf(Method);
  Request_.Text_.reserve(UsualHeaderBytes);
  Request_.Fields_.reserve(UsualFields);
  Request_.Text_.assign(Target.data(), Target.size());
  Request_.TargetBytes_ = static_cast<std::uint32_t>(Target.size());
  HeaderReceived_ = Target.size();
}

void RequestParser::on_response_impl(int /*Status*/, Text /*Reason*/, int /*Version*/,
                                     Error & /*Failure*/) {}

void RequestParser::on_field_impl(http::field /*Known*/, Text Name, Text Value, Error &Failure) {
  // The base class applies its limit to the part of a header that it is given at a time.
  HeaderReceived_ += Name.size() + Value.size() + FieldSeparatorBytes;
  if (HeaderReceived_ > HeaderBytes_) {
    Failure = http::error::header_limit;
    return;
  }
  if (is_header_done())
    return; // A field behind the body.
  auto &All = Request_.Text_;
  ReceivedRequest::Field Added{static_cast<std::uint32_t>(All.size()), 0, 0};
  All.append(Name.data(), Name.size());
  Added.Value = static_cast<std::uint32_t>(All.size());
  All.append(Value.data(), Value.size());
  Added.End = static_cast<std::uint32_t>(All.size());
  Request_.Fields_.push_back(Added);
}

void RequestParser::on_header_impl(Error & /*Failure*/) {
  auto Expected = Request_.header("Expect");
  AwaitsContinue_ = IsVersionWithContinue_ &&
                    boost::beast::iequals({Expected.data(), Expected.size()}, "100-continue");
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &Length,
                                      Error & /*Failure*/) {
  BodyExpected_ = Length ? *Length : BodyBytes_;
}

std::size_t RequestParser::on_body_impl(Text Part, Error &Failure) {
  return bodyPartReceived(Part, Failure);
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*Size*/, Text /*Extensions*/,
                                         Error & /*Failure*/) {}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*Remaining*/, Text Part,
                                              Error &Failure) {
  return bodyPartReceived(Part, Failure);
}

void RequestParser::on_finish_impl(Error & /*Failure*/) {}

std::size_t RequestParser::bodyPartReceived(Text Part, Error &Failure) {
  BodyReceived_ += Part.size();
  if (BodyReceived_ > BodyBytes_) {
    Failure = http::error::body_limit;
    return 0;
  }
  if (BodyReceived_ > ShortBodyBytes && !std::exchange(IsFilterAsked_, true) && TakesBody_ &&
      !TakesBody_(Request_)) {
    Request_.IsBodyDropped_ = true;
    Request_.releaseBody();
  }
  if (!Request_.IsBodyDropped_)
    append(Part);
  return Part.size();
}

void RequestParser::append(Text Part) {
  auto &Body = Request_.Body_;
  auto Needed = Body.size() + Part.size();
  if (Needed > Body.capacity()) {
    // A string's own growth would exceed the length that is still expected.
    std::string Grown;
    Grown.reserve(std::max(Needed, std::min<std::size_t>(BodyExpected_, 2 * Body.size())));
    Grown.append(Body);
    Body = std::move(Grown);
  }
  Body.append(Part.data(), Part.size());
}

} // namespace cornellift::reactor
