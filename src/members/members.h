#pragma once

/// \file
/// \brief The other daemons: who they are, which live, and calls of the store through them.

#include "members/answer_patience.h"
#include "members/gossip_socket.h"
#include "members/membership_protocol.h"
#include "members/peer_transport.h"
