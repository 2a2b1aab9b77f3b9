#pragma once

/// \file
/// \brief Membership and failure detection among the daemons, and store calls relayed by peers.

#include "members/adaptive_timeout.h"
#include "members/gossip_socket.h"
#include "members/membership_protocol.h"
#include "members/peer_transport.h"
