#ifndef CICADAWIND_DOCUMENTS_JSONPARSING_H
#define CICADAWIND_DOCUMENTS_JSONPARSING_H

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace cicadawind {

/// Number of lists and objects that may enclose one another in a document.
/// Serializing, copying and comparing a value uses stack for each level, so a
/// document without a limit could exhaust the stack of the process.
constexpr std::size_t MaxJsonDepth = 64;

/// What is done with lists and objects that are nested deeper than
/// MaxJsonDepth.
enum class DeepValues {
  /// The document is refused as malformed.
  Refuse,
  /// They are left out, and the rest of the document is kept.
  LeaveOut
};

/// Parses the JSON \p Text. Throws nlohmann::json::exception if it is malformed
/// or nested deeper than MaxJsonDepth. Linear in the size of the text; the
/// memory for values that are refused or left out does not grow with it.
nlohmann::json parseJson(std::string_view Text);

/// Parses the JSON \p Text; returns a discarded value if it is malformed or, by
/// \p Deep, nested too deep.
nlohmann::json tryParseJson(std::string_view Text,
                            DeepValues Deep = DeepValues::Refuse);

/// Parses the CBOR \p Bytes. Throws nlohmann::json::exception if they are
/// malformed or nested deeper than MaxJsonDepth.
nlohmann::json parseCbor(std::string_view Bytes);

} // namespace cicadawind

#endif
