#include "Tests/Fuzz/JobTarget.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) { // NOLINT
  checkJobParser({reinterpret_cast<const char *>(Data), Size});
  return 0;
}
