#include "accounts/access.h"

namespace azurehill {

namespace {

/// \brief Visitor that maps each kind of credential to the access that it grants. The registry is
/// not empty.
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
        const account_config *const holder = accounts.findByKey(digest);
        return {holder ? access_verdict::Allowed : access_verdict::UnknownKey, holder};
    }
};

} // namespace

access checkAccess(const account_registry &accounts, bool isPublic, const credential &presented)
{
    if (accounts.empty())
        return {};
    return std::visit(access_checker{accounts, isPublic}, presented);
}

} // namespace azurehill
