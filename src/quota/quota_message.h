#pragma once

#include "accounts/account_config.h"
#include "quota/credit_ledger.h"

#include <string>
#include <string_view>
#include <variant>

namespace azurehill {

/// \brief Requests a credit from the daemon that holds the account's quota row.
struct credit_request
{
    credit_id id;
    account_id account;
    credit_use use = credit_use::Continue;
};

/// \brief Grants the credit request \c number.
struct credit_lent
{
    std::uint64_t number = 0;
};

/// \brief Denies the credit request \c number, since the account's quota is exhausted.
struct credit_denied
{
    std::uint64_t number = 0;
    /// Time until a credit becomes available.
    duration retryAfter = duration::zero();
};

/// \brief Redirects the credit request \c number, since its receiver does not hold the account's
/// quota row.
struct not_holder
{
    std::uint64_t number = 0;
    /// The daemon that holds the row, or empty if unknown.
    daemon_id holder;
};

/// \brief Returns the credit \c id unused: the request that it was lent for did not run and never
/// will.
struct credit_return
{
    credit_id id;
    account_id account;
};

/// \brief Datagram between a daemon that serves a request and the daemon that lends credits.
using quota_message
    = std::variant<credit_request, credit_lent, credit_denied, not_holder, credit_return>;

/// \returns \p message encoded as the payload of a datagram.
std::string encodeQuotaMessage(const quota_message &message);
/// \returns the message decoded from \p text, or nothing if it is malformed.
std::optional<quota_message> decodeQuotaMessage(std::string_view text);

} // namespace azurehill
