#include "Sessions/SessionState.h"

#include "Core/Random.h"

#include <algorithm>

namespace cicadawind {

SessionMark SessionState::mark(const std::string &Database) const {
  auto It = Marks.find(Database);
  return It == Marks.end() ? SessionMark() : It->second;
}

bool SessionState::hasRoomFor(const std::string &Database) const {
  return Marks.size() < MaxDatabases || Marks.count(Database) != 0;
}

void SessionState::observe(const std::string &Database, LogPosition Position) {
  SessionMark &Mark = Marks[Database];
  Mark.AtLeast = std::max(Mark.AtLeast, Position);
}

void SessionState::markUncertain(const std::string &Database,
                                 std::uint64_t KeyHash) {
  SessionMark &Mark = Marks[Database];
  // Two uncertain writes cannot be settled by one key.
  Mark.UncertainKey =
      Mark.Uncertain && Mark.UncertainKey != KeyHash ? 0 : KeyHash;
  Mark.Uncertain = true;
}

void SessionState::settle(const std::string &Database, std::uint64_t KeyHash) {
  auto It = Marks.find(Database);
  if (It == Marks.end() || KeyHash == 0)
    return;
  SessionMark &Mark = It->second;
  if (!Mark.Uncertain || Mark.UncertainKey != KeyHash)
    return;
  Mark.Uncertain = false;
  Mark.UncertainKey = 0;
}

void SessionState::set(const std::string &Database, SessionMark Mark) {
  Marks[Database] = Mark;
}

std::uint64_t hashKey(const std::string &IdempotencyKey) {
  if (IdempotencyKey.empty())
    return 0;
  std::uint64_t Hash = IdempotencyKey.size();
  for (unsigned char C : IdempotencyKey)
    Hash = mix(Hash, C);
  return Hash == 0 ? 1 : Hash;
}

} // namespace cicadawind
