#pragma once

#include "http/http_error.h"
#include "http/problem.h"
#include "program/refusal.h"

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
problem conflictProblem(std::string detail);

} // namespace azurehill
