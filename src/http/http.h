#pragma once

/// \file
/// \brief HTTP/1.1 by Boost.Beast behind plain types, so that Beast is compiled in this module
/// only.

#include "http/http_client.h"
#include "http/http_error.h"
#include "http/http_message.h"
#include "http/http_server.h"
#include "http/problem.h"
