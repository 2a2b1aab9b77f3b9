#pragma once

#include "rows/row.h"

namespace azurehill {

/// \brief Result of a read that takes several requests, each of which returns a page.
///
/// Every page is read at a later version of the store than the one before. The result has the
/// version of the first page: it contains all changes up to that version, and some later ones. With
/// the version of the last page, a change of a row of an earlier page in between would neither be
/// contained nor be among the changes since.
class paged_read
{
public:
    /// \brief Appends the next page.
    void add(row_page page);
    /// \returns the rows of all pages so far.
    row_page take() { return std::move(m_all); }
    const row_page &rows() const { return m_all; }

private:
    row_page m_all;
    bool m_hasVersion = false;
};

/// \brief Applies \p changes of the store's change feed since the version of \p page, which then is
/// equal to the table at the version of \p changes.
void applyFeed(row_page &page, const row_page &changes);

} // namespace azurehill
