#pragma once

#include "http/http_error.h"
#include "http/problem.h"
#include "program/refusal.h"

#include <string_view>

namespace azurehill {

/// \returns the problem document of a refusal; a refused request did not run.
problem toProblem(const refusal &r);

problem malformedProblem(std::string detail);
problem unauthorizedProblem();
problem notFoundProblem(std::string detail);
problem notReadyProblem();
/// \returns that the program is changing its owner now.
problem movingProblem();
/// \returns that the owner did not answer.
problem passOnProblem(const http_error &error);
/// \returns that an upstream gave no whole answer.
/// \param worthRetry whether coming back makes sense.
problem upstreamProblem(const http_error &error, bool worthRetry);
/// \returns a 405 response that names the methods of the resource.
http_response methodNotAllowed(std::string_view allowed);
problem conflictProblem(std::string detail);

} // namespace azurehill
