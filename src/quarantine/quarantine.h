#pragma once

/// \file
/// \brief Quarantine of requests under which replicas end: the identity of a request over its
/// attempts, what became of the replicas that lost one, and whether it may be sent once more.
/// docs/design/request-quarantine.md explains the design.

#include "quarantine/crash_ledger.h"
#include "quarantine/crash_message.h"
#include "quarantine/crash_rows.h"
#include "quarantine/crash_watch.h"
#include "quarantine/request_fingerprint.h"
#include "quarantine/send_loss.h"
#include "quarantine/send_verdict.h"
