#include "Libraries/LibCore/Utf8.h"

#include <boost/locale/utf.hpp>

namespace cornellift::core {

bool isUtf8(std::string_view Bytes) {
  namespace utf = boost::locale::utf;
  const auto *Next = Bytes.begin();
  while (Next != Bytes.end()) {
    auto CodePoint = utf::utf_traits<char>::decode(Next, Bytes.end());
    if (CodePoint == utf::illegal || CodePoint == utf::incomplete)
      return false;
  }
  return true;
}

} // namespace cornellift::core
