#include "http/problem.h"

#include <boost/json.hpp>

namespace azurehill {

namespace {

/// \returns \p d in seconds, rounded up, since Retry-After takes whole seconds only.
std::int64_t secondsRoundedUp(duration d)
{
    return (toMilliseconds(d) + 999) / 1000;
}

} // namespace

std::string toJson(const problem &p)
{
    boost::json::object o;
    o["type"] = "urn:azurehill:problem:" + p.type;
    o["title"] = p.title;
    o["status"] = p.status;
    o["detail"] = p.detail;
    o["outcome"] = toName(p.ran);
    if (p.retryAfter)
        o["retry_after_ms"] = toMilliseconds(*p.retryAfter);
    return boost::json::serialize(o);
}

http_response toResponse(const problem &p)
{
    http_response r;
    r.status = p.status;
    r.headers.add("Content-Type", "application/problem+json");
    if (p.retryAfter)
        r.headers.add("Retry-After", std::to_string(secondsRoundedUp(*p.retryAfter)));
    r.body = toJson(p);
    return r;
}

} // namespace azurehill
