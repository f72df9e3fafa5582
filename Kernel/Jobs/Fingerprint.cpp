#include "Kernel/Jobs/Fingerprint.h"

#include <string>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cornellift::kernel {
namespace {

class Hasher {
public:
  Hasher() { XXH3_64bits_reset(&State_); }

  void add(const void *Data, std::size_t Size) { XXH3_64bits_update(&State_, Data, Size); }

  template <typename T> void addNumber(T Number) { add(&Number, sizeof Number); }

  /// Hashes the length as well, to distinguish two adjacent texts from their concatenation.
  void addText(std::string_view Text) {
    addNumber<std::uint64_t>(Text.size());
    add(Text.data(), Text.size());
  }

  std::uint64_t digest() const { return XXH3_64bits_digest(&State_); }

private:
  XXH3_state_t State_;
};

template <typename Items, typename Index>
std::string_view nameOf(const Items &Named, Index Position) {
  auto Number = static_cast<std::size_t>(Position);
  return Number < Named.size() ? std::string_view(Named[Number].Name) : std::string_view();
}

void addTask(Hasher &Hash, const TaskSpec &Task) {
  Hash.addNumber(Task.Declared.Processors);
  Hash.addNumber(Task.Declared.MemoryMegabytes);
  Hash.addNumber(Task.Declared.Accelerators);
  Hash.addNumber(Task.DeclaredRunTime.count());
  Hash.addNumber(Task.PayloadBytes);
}

} // namespace

std::uint64_t fingerprint(const JobSpec &Spec, const KernelConfiguration &Configuration) {
  Hasher Hash;
  Hash.addText(nameOf(Configuration.Teams, Spec.Team));
  Hash.addText(nameOf(Configuration.Services, Spec.Service));
  auto Service = static_cast<std::size_t>(Spec.Service);
  if (Service < Configuration.Services.size())
    Hash.addText(nameOf(Configuration.Services[Service].Kinds, Spec.Kind));
  Hash.addNumber<std::uint64_t>(Spec.Tasks.size());
  for (const auto &Task : Spec.Tasks)
    addTask(Hash, Task);
  if (Spec.Payload)
    for (const auto &Payload : Spec.Payload->Tasks)
      Hash.addText(Payload);
  return Hash.digest();
}

} // namespace cornellift::kernel
