#pragma once

/// \file
/// \brief HTTP/1.1 client and server. The interface hides Boost.Beast, so that only this module
/// compiles it.

#include "http/body_completeness.h"
#include "http/http_client.h"
#include "http/http_error.h"
#include "http/http_message.h"
#include "http/http_server.h"
#include "http/problem.h"
