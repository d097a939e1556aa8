#ifndef CICADAWIND_RELEASENOTES_NOTEDOCUMENT_H
#define CICADAWIND_RELEASENOTES_NOTEDOCUMENT_H

#include "Core/Result.h"

#include <cstdint>
#include <string>

namespace cicadawind {

/// \class NoteDocument
/// \brief An accepted release note, as it is stored and sent between daemons.
///
/// Never changes once it has been created under its number.
struct NoteDocument {
  std::uint64_t Number = 0;
  /// Text that identifies the submission. If the store's reply to the creation
  /// is lost, it shows which submission created the document.
  std::string Submission;
  /// The note as submitted, in TOML.
  std::string Text;

  bool operator==(const NoteDocument &) const = default;
};

/// Returns \p Document as JSON text.
std::string encodeDocument(const NoteDocument &Document);

/// Parses text written by encodeDocument. Returns BadRequest if \p Text is
/// malformed.
Result<NoteDocument> decodeDocument(const std::string &Text);

} // namespace cicadawind

#endif
