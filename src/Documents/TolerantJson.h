#ifndef CICADAWIND_DOCUMENTS_TOLERANTJSON_H
#define CICADAWIND_DOCUMENTS_TOLERANTJSON_H

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace cicadawind {

/// Stands for the names of an object's members that cannot be read: the
/// replacement character of Unicode.
extern const char *const UnreadableName;

/// Parses the JSON \p Text, with null in place of each string or number that
/// cannot be read: one with bytes that are no UTF-8, half of a surrogate pair
/// or a number out of range. A member whose name cannot be read has the name
/// UnreadableName and the value null. So one entry of a list that several
/// programs write does not hide the others. Lists and objects nested deeper
/// than MaxJsonDepth are left out. Returns a discarded value if the structure
/// of the document is malformed. Linear in the size of the text if all can be
/// read; otherwise that, times the depth at which the unreadable values are.
nlohmann::json parseTolerantly(std::string_view Text);

} // namespace cicadawind

#endif
