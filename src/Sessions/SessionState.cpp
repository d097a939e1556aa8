#include "Sessions/SessionState.h"

#include "Core/Random.h"

#include <algorithm>

namespace cicadawind {

SessionPosition SessionState::position(const std::string &Database) const {
  auto It = Positions.find(Database);
  return It == Positions.end() ? SessionPosition() : It->second;
}

bool SessionState::hasRoomFor(const std::string &Database) const {
  return Positions.size() < MaxDatabases || Positions.count(Database) != 0;
}

void SessionState::observe(const std::string &Database, LogPosition Position) {
  SessionPosition &Entry = Positions[Database];
  Entry.MinPosition = std::max(Entry.MinPosition, Position);
}

void SessionState::markOutcomeUnknown(const std::string &Database,
                                      std::uint64_t KeyHash) {
  SessionPosition &Entry = Positions[Database];
  // With two writes of unknown outcome, one key cannot resolve both, so no key
  // is kept.
  Entry.UnknownWriteKey =
      Entry.OutcomeUnknown && Entry.UnknownWriteKey != KeyHash ? 0 : KeyHash;
  Entry.OutcomeUnknown = true;
}

void SessionState::resolveUnknown(const std::string &Database,
                                  std::uint64_t KeyHash) {
  auto It = Positions.find(Database);
  if (It == Positions.end() || KeyHash == 0)
    return;
  SessionPosition &Entry = It->second;
  if (!Entry.OutcomeUnknown || Entry.UnknownWriteKey != KeyHash)
    return;
  Entry.OutcomeUnknown = false;
  Entry.UnknownWriteKey = 0;
}

void SessionState::set(const std::string &Database, SessionPosition Entry) {
  Positions[Database] = Entry;
}

std::uint64_t hashKey(const std::string &IdempotencyKey) {
  if (IdempotencyKey.empty())
    return 0;
  std::uint64_t Hash = IdempotencyKey.size();
  for (unsigned char C : IdempotencyKey)
    Hash = hashCombine(Hash, C);
  return Hash == 0 ? 1 : Hash;
}

} // namespace cicadawind
