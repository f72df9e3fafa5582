#pragma once

#include "Kernel/Transfer/Transfer.h"
#include "Libraries/LibPeer/Generated/Peer.pb.h"
#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/IssuerNames.h"

#include <memory>

namespace cornellift::entry {

/// Encodes a part for the wire, with names instead of indexes and with wall-clock times.
peer::TransferRequest encodeTransfer(const kernel::TransferPart &Part,
                                     const kernel::KernelConfiguration &Configuration,
                                     const IssuerNames &Names);

/// Decodes a part and adds the issuers' names to Names. Null with NotFound when the part names a
/// service, kind or team that is not configured here; the sender then keeps its state.
std::shared_ptr<const kernel::TransferPart>
decodeTransfer(const peer::TransferRequest &Request,
               const kernel::KernelConfiguration &Configuration, IssuerNames &Names);

} // namespace cornellift::entry
