#include "accounts/access.h"

namespace azurehill {

namespace {

/// \brief Judges each kind of credential where accounts are in force.
struct access_checker
{
    const account_registry &accounts;
    bool isPublic;

    access operator()(const no_credential & /*unused*/) const
    {
        return {isPublic ? access_verdict::Allowed : access_verdict::NoKey, nullptr};
    }
    access operator()(const invalid_credential & /*unused*/) const
    {
        return {access_verdict::NoKey, nullptr};
    }
    access operator()(const key_digest &digest) const
    {
        const account_config *const holder = accounts.holder(digest);
        return {holder ? access_verdict::Allowed : access_verdict::UnknownKey, holder};
    }
};

} // namespace

access checkAccess(const account_registry &accounts, bool isPublic, const credential &said)
{
    if (accounts.empty())
        return {};
    return std::visit(access_checker{accounts, isPublic}, said);
}

} // namespace azurehill
