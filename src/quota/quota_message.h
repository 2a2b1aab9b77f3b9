#pragma once

#include "accounts/account_config.h"
#include "quota/credit_ledger.h"

#include <string>
#include <string_view>
#include <variant>

namespace azurehill {

/// \brief Asks the holder of the account's row for a credit.
struct credit_request
{
    credit_id id;
    account_id account;
    credit_use use = credit_use::Continue;
};

/// \brief The request \c number may run.
struct credit_lent
{
    std::uint64_t number = 0;
};

/// \brief The request \c number may not run: the account's quota is used up.
struct credit_denied
{
    std::uint64_t number = 0;
    /// When a credit is there again.
    duration retryAfter = duration::zero();
};

/// \brief The receiver of the request \c number does not hold the account's row.
struct not_holder
{
    std::uint64_t number = 0;
    /// The daemon that holds it, or empty if that is not known.
    daemon_id holder;
};

/// \brief The request for which the credit \c id was lent did not run and never will.
struct credit_return
{
    credit_id id;
    account_id account;
};

/// \brief One datagram between a daemon that serves a request and the one that lends credits.
using quota_message
    = std::variant<credit_request, credit_lent, credit_denied, not_holder, credit_return>;

/// \returns \p message as the text of a datagram.
std::string encodeQuotaMessage(const quota_message &message);
/// \returns the message in \p text, or nothing when it can't be read.
std::optional<quota_message> decodeQuotaMessage(std::string_view text);

} // namespace azurehill
