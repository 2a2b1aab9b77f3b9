#pragma once

#include "store/store.h"
#include "turns/turn.h"

#include <map>
#include <vector>

namespace azurehill {

/// \brief Layout of turns and token accounts in the store. A partition is the store's `part`.
///
/// | table | partition | key | value |
/// | --- | --- | --- | --- |
/// | turns | program | "account" | the program's token_account |
/// | turns | program | "turn/ID#N" | chunk N of a turn; the size of a row is limited |
/// | turn-index | hash of the turn's id | turn's id | the program that holds the turn |
namespace turn_rows {

/// \returns the name of the account row of \p program.
row_name account(const program_id &program);
/// \returns the name of the row with the first chunk of a turn in the partition of \p program.
row_name firstChunk(const program_id &program, const turn_id &id);
/// \returns the turn whose first chunk \p row is; an empty id if it is none.
turn_id turnOfFirstChunk(const row_name &row);
/// \returns the name of the index row that maps a turn to its program.
row_name index(const turn_id &id);
/// \returns the range of all rows of \p program.
row_range programRange(const program_id &program);
/// \returns \p t encoded as rows in the partition of \p program, each value at most \p rowBytes
/// long.
std::vector<row_value> encodeRows(const turn &t, const program_id &program, std::size_t rowBytes);
/// \returns the turns in \p rows by id. Turns that can't be decoded are logged and left out.
std::map<turn_id, decoded_turn> readTurns(const std::vector<stored_row> &rows);
/// \returns the number of turns in \p rows, including those that can't be decoded.
std::size_t countTurns(const std::vector<stored_row> &rows);
/// \returns whether \p row is the account row of a program.
bool isAccountRow(const row_name &row);

} // namespace turn_rows

} // namespace azurehill
