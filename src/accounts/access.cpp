#include "accounts/access.h"

namespace azurehill {

namespace {

/// \brief Judges each kind of credential where accounts are in force.
struct access_judge
{
    const account_book &accounts;
    bool isPublic;

    access operator()(const no_credential & /*unused*/) const
    {
        return {isPublic ? access_verdict::Allowed : access_verdict::NoKey, nullptr};
    }
    access operator()(const bad_credential & /*unused*/) const
    {
        return {access_verdict::NoKey, nullptr};
    }
    access operator()(const key_digest &digest) const
    {
        const account_rule *const holder = accounts.holder(digest);
        return {holder ? access_verdict::Allowed : access_verdict::UnknownKey, holder};
    }
};

} // namespace

access judgeAccess(const account_book &accounts, bool isPublic, const credential &said)
{
    if (accounts.empty())
        return {};
    return std::visit(access_judge{accounts, isPublic}, said);
}

} // namespace azurehill
