#pragma once

#include "store/store.h"
#include "turns/turn.h"

#include <map>
#include <vector>

namespace azurehill {

/// \brief Where turns and accounts lie in the store.
///
/// | table | part | key | value |
/// | --- | --- | --- | --- |
/// | turns | program | "account" | the program's token_account |
/// | turns | program | "turn/ID#N" | piece N of a turn; a row has a largest size |
/// | turn-index | hash of the turn's id | turn's id | the program that has the turn |
namespace turn_rows {

/// \returns the row of a program's account.
row_name account(const program_id &program);
/// \returns the row of the first piece of a turn in the part of \p program.
row_name firstChunk(const program_id &program, const turn_id &id);
/// \returns the row that finds a turn's program.
row_name index(const turn_id &id);
/// \returns all rows of \p program.
row_range programRange(const program_id &program);
/// \returns \p t as rows in the part of \p program, none with a value over \p rowBytes.
std::vector<row_value> pieces(const turn &t, const program_id &program, std::size_t rowBytes);
/// \returns the turns in \p rows by id; what can't be read is logged and left out.
std::map<turn_id, decoded_turn> readTurns(const std::vector<stored_row> &rows);
/// \returns whether \p row is the account of a program.
bool isAccountRow(const row_name &row);

} // namespace turn_rows

} // namespace azurehill
