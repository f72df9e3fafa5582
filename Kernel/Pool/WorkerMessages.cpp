#include "Kernel/Pool/WorkerMessages.h"

namespace cornellift::kernel {

bool WorkerEntry::operator==(const WorkerEntry &Other) const {
  return Id == Other.Id && Address == Other.Address && DataCentre == Other.DataCentre &&
         Service == Other.Service && Standing == Other.Standing &&
         Capacity.Processors == Other.Capacity.Processors &&
         Capacity.MemoryMegabytes == Other.Capacity.MemoryMegabytes &&
         Capacity.Accelerators == Other.Capacity.Accelerators && Slots == Other.Slots &&
         Labels == Other.Labels && BornMilliseconds == Other.BornMilliseconds;
}

} // namespace cornellift::kernel
