#include "daemon/problems.h"

namespace azurehill {

namespace {

int statusOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::UnknownProgram:
        return 404;
    case refusal_reason::ProgramEnded:
        return 410;
    case refusal_reason::TurnOutOfOrder:
    case refusal_reason::KeyReused:
        return 409;
    case refusal_reason::BudgetExhausted:
        return 402;
    case refusal_reason::DeadlinePassed:
    case refusal_reason::TooManyTurns:
        return 403;
    case refusal_reason::Overloaded:
        return 429;
    case refusal_reason::NotOwner:
    case refusal_reason::StoreUnavailable:
    case refusal_reason::NoUpstream:
    case refusal_reason::Draining:
    case refusal_reason::ReplicasInDoubt:
        return 503;
    case refusal_reason::Quarantined:
        return 422;
    }
    return 503;
}

} // namespace

problem toProblem(const refusal &r)
{
    return {statusOf(r.reason),        std::string(toName(r.reason)),
            "The request did not run", r.detail,
            outcome::DidNotRun,        r.retryAfter};
}

problem malformedProblem(std::string detail)
{
    return {400,
            "malformed-request",
            "The request can't be read",
            std::move(detail),
            outcome::DidNotRun,
            std::nullopt};
}

problem unauthorizedProblem()
{
    return {401, "unauthorized", "The token is unknown", "", outcome::DidNotRun, std::nullopt};
}

problem notFoundProblem(std::string detail)
{
    return {
        404,         "not-found", "There is no such thing", std::move(detail), outcome::DidNotRun,
        std::nullopt};
}

problem notReadyProblem()
{
    return {503, "not-ready", "This daemon does not serve yet", "", outcome::DidNotRun, seconds(1)};
}

problem movingProblem()
{
    return {503, "not-owner",        "The program changes its daemon now",
            "",  outcome::DidNotRun, seconds(1)};
}

problem passOnProblem(const http_error &error)
{
    return {502,          "owner-silent", "The program's daemon gave no answer",
            error.detail, error.ran,      seconds(1)};
}

problem upstreamProblem(const http_error &error, bool worthRetry)
{
    const int status = error.kind == http_error_kind::TimedOut ? 504 : 502;
    problem p{status,       "upstream-failed", "The upstream gave no whole answer",
              error.detail, error.ran,         std::nullopt};
    if (worthRetry)
        p.retryAfter = seconds(1);
    return p;
}

http_response methodNotAllowed(std::string_view allowed)
{
    problem p{405, "method-not-allowed", "The resource has no such method",
              "",  outcome::DidNotRun,   std::nullopt};
    p.detail = "allowed: " + std::string(allowed);
    http_response response = toResponse(p);
    response.headers.add("Allow", allowed);
    return response;
}

problem conflictProblem(std::string detail)
{
    return {409,
            "conflict",
            "The configuration has changed in between",
            std::move(detail),
            outcome::DidNotRun,
            std::nullopt};
}

} // namespace azurehill
