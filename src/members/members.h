#pragma once

/// \file
/// \brief The other daemons: who they are, which live, and calls of the store through them.

#include "members/adaptive_timeout.h"
#include "members/gossip_socket.h"
#include "members/membership_protocol.h"
#include "members/peer_transport.h"
