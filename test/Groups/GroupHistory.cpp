#include "Groups/GroupHistory.h"

#include <algorithm>

namespace cicadawind::test {

void GroupHistory::checkTerm(const char *What, TimePoint At, Term Under) {
  for (const auto &[Opened, OpenAt] : OpenedAt)
    if (Opened > Under && OpenAt < At && Broken.empty())
      Broken = std::string(What) + " under term " + std::to_string(Under) +
               " after term " + std::to_string(Opened) + " had opened";
}

void GroupHistory::acknowledged(WriteId Id, TimePoint At, Term Under) {
  Acks[Id] = Ack{.At = At, .Under = Under};
  checkTerm("acknowledged", At, Under);
}

void GroupHistory::opened(Term Opened, TimePoint At) {
  OpenedAt.try_emplace(Opened, At);
}

void GroupHistory::read(const std::set<WriteId> &Seen, TimePoint AsOf,
                        TimePoint, Term) {
  ++Reads;
  for (const auto &[Id, A] : Acks)
    if (A.At < AsOf && !Seen.count(Id) && Broken.empty())
      Broken = "a read missed write " + std::to_string(Id) +
               " that was acknowledged before the time it must reflect";
}

std::optional<TimePoint> GroupHistory::lastAcknowledged() const {
  std::optional<TimePoint> Last;
  for (const auto &[Id, A] : Acks)
    Last = std::max(Last.value_or(A.At), A.At);
  return Last;
}

std::string GroupHistory::check(const std::vector<WriteId> &FinalLog) const {
  if (!Broken.empty())
    return Broken;
  std::map<WriteId, int> Count;
  for (WriteId Id : FinalLog)
    ++Count[Id];
  for (const auto &[Id, Times] : Count)
    if (Times > 1)
      return "write " + std::to_string(Id) + " landed twice";
  for (const auto &[Id, A] : Acks)
    if (!Count.count(Id))
      return "acknowledged write " + std::to_string(Id) + " vanished";
  for (WriteId Id : NotRun)
    if (Appended.count(Id))
      return "write " + std::to_string(Id) + " was said not to have run";
  return {};
}

} // namespace cicadawind::test
