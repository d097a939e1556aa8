#include "ReleaseNotes/NoteEntry.h"

namespace cicadawind {

std::string NoteEntry::text(const std::string &Key) const {
  auto It = Fields.find(Key);
  if (It == Fields.end())
    return {};
  const std::string *Text = std::get_if<std::string>(&It->second);
  return Text ? *Text : std::string();
}

std::string NoteEntry::subject() const {
  switch (Kind) {
  case NoteKind::Database:
    return "database/" + text("name");
  case NoteKind::Target:
    return "target/" + text("database") + "/" + text("name");
  case NoteKind::Vm:
    return "vm/" + text("name");
  case NoteKind::Limits:
    return "limits";
  }
  return {};
}

} // namespace cicadawind
