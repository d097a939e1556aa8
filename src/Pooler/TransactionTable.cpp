#include "Pooler/TransactionTable.h"

#include "Pooler/TargetPool.h"

#include <utility>

namespace cicadawind {

void TransactionTable::add(Entry NewEntry) {
  Open[NewEntry->Id] = std::move(NewEntry);
}

TransactionTable::Entry TransactionTable::find(const std::string &Id) const {
  auto It = Open.find(Id);
  return It == Open.end() ? nullptr : It->second;
}

const TransactionTable::Ended *
TransactionTable::ended(const std::string &Id) const {
  auto It = RecentlyEnded.find(Id);
  return It == RecentlyEnded.end() ? nullptr : &It->second;
}

void TransactionTable::setCommitted(const std::string &Id,
                                    LogPosition Position) {
  auto It = RecentlyEnded.find(Id);
  if (It != RecentlyEnded.end())
    It->second.Committed = Position;
}

void TransactionTable::end(const std::string &Id, const std::string &Event,
                           const std::string &Reason, TimePoint Now) {
  auto It = Open.find(Id);
  if (It == Open.end() || !It->second->Machine.fire(Event))
    return;
  Entry Ending = It->second;
  Open.erase(It);
  Ending->EndedBecause = Reason;
  RecentlyEnded[Id] = Ended{.State = Ending->Machine.state(),
                            .Reason = Reason,
                            .Committed = {},
                            .EndedAt = Now};
  if (!Ending->Connection)
    return;
  // The outcome is unknown, and a statement or commit may still run on the
  // connection. Closing it makes the target roll back what is not committed.
  if (Event != "confirmed" && !Ending->Machine.is("rolled_back"))
    Ending->Connection->link().close();
  Ending->Connection->machine().fire("pinned_done");
  Ending->Pool->releaseConnection(std::move(Ending->Connection));
}

std::vector<std::string> TransactionTable::idleSince(TimePoint Before) const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Entry] : Open)
    if (Entry->Machine.is("open") && Entry->LastUse < Before)
      Ids.push_back(Id);
  return Ids;
}

std::vector<std::string> TransactionTable::all() const {
  std::vector<std::string> Ids;
  for (const auto &[Id, Entry] : Open)
    Ids.push_back(Id);
  return Ids;
}

void TransactionTable::removeExpired(TimePoint Now) {
  std::erase_if(RecentlyEnded, [Now](const auto &RecentEntry) {
    return Now - RecentEntry.second.EndedAt > RetentionTime;
  });
}

} // namespace cicadawind
