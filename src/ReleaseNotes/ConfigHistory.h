#ifndef CICADAWIND_RELEASENOTES_CONFIGHISTORY_H
#define CICADAWIND_RELEASENOTES_CONFIGHISTORY_H

#include "ReleaseNotes/NoteDocument.h"
#include "ReleaseNotes/ServiceConfig.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace cicadawind {

/// \class ConfigHistory
/// \brief Holds the active configuration of one daemon and the latest notes.
///
/// The number of the configuration only increases: a document is applied if its
/// number is the next one, and a snapshot if its number is higher. The last
/// KeptNotes documents are kept for peers that are behind. Not thread safe.
class ConfigHistory {
public:
  /// Maximum number of documents kept.
  static constexpr std::size_t KeptNotes = 256;
  using ChangeHook = std::function<void(const ServiceConfig &)>;

  /// Returns the active configuration. Its number is 0 before the first note.
  const ServiceConfig &config() const { return Config; }
  std::uint64_t number() const { return Config.Number; }

  /// Applies the next document. Documents that were applied before are ignored
  /// without an error. Returns an error, and changes nothing, if a number is
  /// skipped or the document cannot be applied.
  Status applyNote(const NoteDocument &Document);

  /// Replaces the configuration by \p Snapshot, and removes the kept documents,
  /// if \p Snapshot is newer.
  void applySnapshot(const ServiceConfig &Snapshot);

  /// Returns the kept documents after \p Number, oldest first. Empty if
  /// \p Number is current, or so old that the next document is not kept.
  std::vector<NoteDocument> notesAfter(std::uint64_t Number) const;

  /// Returns whether all documents after \p Number are kept.
  bool hasNotesSince(std::uint64_t Number) const;

  /// Adds a function that is called after every change.
  void onChange(ChangeHook Hook) { Hooks.push_back(std::move(Hook)); }

private:
  void notifyHooks();

  ServiceConfig Config;
  std::deque<NoteDocument> KeptDocuments;
  std::vector<ChangeHook> Hooks;
};

} // namespace cicadawind

#endif
