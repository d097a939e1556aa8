#include "ReleaseNotes/ReleaseNote.h"

#include "Core/ErrorList.h"

#include <set>

namespace cicadawind {
namespace internal {

/// Returns the number in a field, or \p Fallback if the entry has no such
/// number.
static std::int64_t numberOr(const NoteEntry &Entry, const std::string &Key,
                             std::int64_t Fallback) {
  auto It = Entry.Fields.find(Key);
  if (It == Entry.Fields.end())
    return Fallback;
  const std::int64_t *Number = std::get_if<std::int64_t>(&It->second);
  return Number ? *Number : Fallback;
}

static bool flagOr(const NoteEntry &Entry, const std::string &Key,
                   bool Fallback) {
  auto It = Entry.Fields.find(Key);
  if (It == Entry.Fields.end())
    return Fallback;
  const bool *Flag = std::get_if<bool>(&It->second);
  return Flag ? *Flag : Fallback;
}

static std::string textOr(const NoteEntry &Entry, const std::string &Key,
                          const std::string &Fallback) {
  return Entry.Fields.count(Key) ? Entry.text(Key) : Fallback;
}

static Millis millisOr(const NoteEntry &Entry, const std::string &Key,
                       Millis Fallback) {
  return Millis(numberOr(Entry, Key, Fallback.count()));
}

/// Applies \p Entry to \p Config. Returns an error message, or an empty text on
/// success. applyTarget, applyVm and applyLimits do the same.
static std::string applyDatabase(const NoteEntry &Entry,
                                 ServiceConfig &Config) {
  std::string Name = Entry.text("name");
  bool Exists = Config.Databases.count(Name) != 0;
  if (Entry.Action == NoteAction::Add && Exists)
    return "database '" + Name + "' exists already";
  if (Entry.Action != NoteAction::Add && !Exists)
    return "there is no database '" + Name + "'";
  if (Entry.Action == NoteAction::Withdraw) {
    Config.Databases.erase(Name);
    return {};
  }
  DatabaseConfig &Database = Config.Databases[Name];
  Database.Name = Name;
  Database.StalenessAllowance =
      millisOr(Entry, "staleness_allowance_ms", Database.StalenessAllowance);
  return {};
}

static std::string applyTarget(const NoteEntry &Entry, ServiceConfig &Config) {
  std::string Name = Entry.text("name");
  auto Db = Config.Databases.find(Entry.text("database"));
  if (Db == Config.Databases.end())
    return "there is no database '" + Entry.text("database") + "'";
  std::map<std::string, TargetConfig> &Targets = Db->second.Targets;
  bool Exists = Targets.count(Name) != 0;
  if (Entry.Action == NoteAction::Add && Exists)
    return "target '" + Name + "' exists already";
  if (Entry.Action != NoteAction::Add && !Exists)
    return "database '" + Db->first + "' has no target '" + Name + "'";
  if (Entry.Action == NoteAction::Withdraw) {
    Targets.erase(Name);
    return {};
  }
  TargetConfig &Target = Targets[Name];
  Target.Name = Name;
  Target.Address = textOr(Entry, "address", Target.Address);
  Target.FailureDomain = textOr(Entry, "failure_domain", Target.FailureDomain);
  Target.Region = textOr(Entry, "region", Target.Region);
  Target.Slots = static_cast<unsigned>(numberOr(Entry, "slots", Target.Slots));
  Target.Connections =
      static_cast<unsigned>(numberOr(Entry, "connections", Target.Connections));
  Target.Leaving = flagOr(Entry, "leaving", Target.Leaving);
  return {};
}

/// A configuration lists only the VMs that are withdrawn. Adding a VM therefore
/// cancels its withdrawal.
static std::string applyVm(const NoteEntry &Entry, ServiceConfig &Config) {
  std::string Name = Entry.text("name");
  if (Entry.Action == NoteAction::Withdraw) {
    if (!Config.WithdrawnVms.insert(Name).second)
      return "VM '" + Name + "' is withdrawn already";
    return {};
  }
  if (Config.WithdrawnVms.erase(Name) == 0)
    return "VM '" + Name + "' was not withdrawn";
  return {};
}

static std::string applyLimits(const NoteEntry &Entry, ServiceConfig &Config) {
  LimitsConfig &L = Config.Limits;
  L.MaxDeadline = millisOr(Entry, "max_deadline_ms", L.MaxDeadline);
  L.IdleTransaction = millisOr(Entry, "idle_transaction_ms", L.IdleTransaction);
  L.DrainLimit = millisOr(Entry, "drain_limit_ms", L.DrainLimit);
  L.QueueLimit =
      static_cast<unsigned>(numberOr(Entry, "queue_limit", L.QueueLimit));
  return {};
}

static std::string applyEntry(const NoteEntry &Entry, ServiceConfig &Config) {
  switch (Entry.Kind) {
  case NoteKind::Database:
    return applyDatabase(Entry, Config);
  case NoteKind::Target:
    return applyTarget(Entry, Config);
  case NoteKind::Vm:
    return applyVm(Entry, Config);
  case NoteKind::Limits:
    return applyLimits(Entry, Config);
  }
  return "unknown kind of entry";
}

} // namespace internal

Result<ServiceConfig> ReleaseNote::apply(ServiceConfig Config,
                                         const std::string &Origin) const {
  ErrorList Errors(Origin);
  for (const NoteEntry &Entry : Entries) {
    std::string Message = internal::applyEntry(Entry, Config);
    if (!Message.empty())
      Errors.add(Entry.Line, Message);
  }
  if (!Errors.empty())
    return Errors.error();
  ++Config.Number;
  return Config;
}

std::string ReleaseNote::conflictWith(const ReleaseNote &Other) const {
  std::set<std::string> Subjects;
  for (const NoteEntry &Entry : Other.Entries)
    Subjects.insert(Entry.subject());
  for (const NoteEntry &Entry : Entries)
    if (Subjects.count(Entry.subject()))
      return Entry.subject();
  return {};
}

} // namespace cicadawind
