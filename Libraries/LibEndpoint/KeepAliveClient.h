#pragma once

#include "Libraries/LibHttp/ConnectionStream.h"

#include <chrono>
#include <functional>

#include <httplib.h>

namespace cornellift::endpoint {

/// The httplib client over a ConnectionStream. httplib's own stream sends the header and the body
/// of a request separately, and polls the socket before each read and write.
class KeepAliveClient : public httplib::ClientImpl {
public:
  using httplib::ClientImpl::ClientImpl;

private:
  bool process_socket(const Socket &Connected,
                      std::function<bool(httplib::Stream &)> Callback) override {
    // A request and its answer share one deadline.
    auto Time =
        std::chrono::seconds(read_timeout_sec_) + std::chrono::microseconds(read_timeout_usec_);
    http::ConnectionStream Stream(Connected.sock, Time);
    return Callback(Stream);
  }
};

} // namespace cornellift::endpoint
