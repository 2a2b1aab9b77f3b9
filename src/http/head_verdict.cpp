#include "http/head_verdict.h"

#include "http/transfer_coding.h"

namespace azurehill {

head_verdict judgeHead(const boost::beast::http::response_header<> &head, bool hasFoldedLine)
{
    namespace http = boost::beast::http;
    const http::status_class kind = http::to_status_class(head.result_int());
    if (kind == http::status_class::unknown)
        return head_verdict::InvalidStatus;
    if (head.result() == http::status::switching_protocols)
        return head_verdict::UnrequestedUpgrade;
    if (hasFoldedLine)
        return head_verdict::FoldedLine;
    if (kind == http::status_class::informational)
        return head_verdict::Interim;
    return hasKnownTransferCoding(head) ? head_verdict::Final : head_verdict::UnknownTransferCoding;
}

} // namespace azurehill
