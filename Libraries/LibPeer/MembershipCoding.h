#pragma once

#include "Kernel/Membership/MemberRecord.h"
#include "Libraries/LibPeer/Generated/Peer.pb.h"

#include <google/protobuf/repeated_field.h>

namespace cornellift::peer {

Heartbeat encode(const kernel::Heartbeat &From);
kernel::Heartbeat decode(const Heartbeat &From);

/// Times of change are sent as ages, since monotonic clocks differ between VMs.
Succession encode(const kernel::SuccessionRecord &From, core::TimePoint Now);
kernel::SuccessionRecord decode(const Succession &From, core::TimePoint Now);

AnnounceRequest encode(const kernel::Announcement &From, core::TimePoint Now);
kernel::Announcement decode(const AnnounceRequest &From, core::TimePoint Now);
AnnounceReply encodeReply(const kernel::Announcement &From, core::TimePoint Now);
kernel::Announcement decode(const AnnounceReply &From, core::TimePoint Now);

} // namespace cornellift::peer
