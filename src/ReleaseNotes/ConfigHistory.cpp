#include "ReleaseNotes/ConfigHistory.h"

#include "ReleaseNotes/ReleaseNote.h"

#include <string>
#include <utility>

namespace cicadawind {

Status ConfigHistory::applyNote(const NoteDocument &Document) {
  if (Document.Number <= Config.Number)
    return std::monostate();
  if (Document.Number != Config.Number + 1)
    return Error{.Code = ErrorCode::Conflict,
                 .Message = "note " + std::to_string(Document.Number) +
                            " does not follow " +
                            std::to_string(Config.Number)};
  std::string Origin = "note " + std::to_string(Document.Number);
  Result<ReleaseNote> Note = ReleaseNote::parse(Document.Text, Origin);
  if (const Error *E = errorOf(Note))
    return *E;
  Result<ServiceConfig> Next = valueOf(Note).apply(Config, Origin);
  if (const Error *E = errorOf(Next))
    return *E;
  Config = std::move(valueOf(Next));
  KeptDocuments.push_back(Document);
  if (KeptDocuments.size() > KeptNotes)
    KeptDocuments.pop_front();
  notifyHooks();
  return std::monostate();
}

void ConfigHistory::applySnapshot(const ServiceConfig &Snapshot) {
  if (Snapshot.Number <= Config.Number)
    return;
  Config = Snapshot;
  KeptDocuments.clear();
  notifyHooks();
}

bool ConfigHistory::hasNotesSince(std::uint64_t Number) const {
  if (Number >= Config.Number)
    return true;
  return !KeptDocuments.empty() && KeptDocuments.front().Number <= Number + 1;
}

std::vector<NoteDocument>
ConfigHistory::notesAfter(std::uint64_t Number) const {
  std::vector<NoteDocument> Out;
  if (!hasNotesSince(Number))
    return Out;
  for (const NoteDocument &Document : KeptDocuments)
    if (Document.Number > Number)
      Out.push_back(Document);
  return Out;
}

void ConfigHistory::notifyHooks() {
  for (const ChangeHook &Hook : Hooks)
    Hook(Config);
}

} // namespace cicadawind
