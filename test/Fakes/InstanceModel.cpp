#include "Fakes/InstanceModel.h"

#include <algorithm>

namespace cicadawind::fakes {

/// Entries sent in one pull answer.
constexpr std::size_t MaxPullEntries = 256;

LogPosition InstanceModel::positionAt(LogIndex Index) const {
  if (Index == 0)
    return {};
  return {.WrittenIn = Log[Index - 1].WrittenIn, .Index = Index};
}

LogPosition InstanceModel::received() const { return positionAt(Log.size()); }

LogPosition InstanceModel::applied() const { return positionAt(AppliedIndex); }

InstanceReport InstanceModel::report(TimePoint Now) const {
  InstanceReport Report;
  Report.Instance = Name;
  Report.Promised = Promised;
  Report.IsPrimary = Primary;
  Report.Following = Following;
  Report.Received = received();
  Report.Applied = applied();
  if (!Primary && !Following.empty())
    Report.PrimaryHeard = toMillis(Now - PrimaryHeard.value_or(FollowingSince));
  return Report;
}

void InstanceModel::fence(Term NewTerm) {
  if (NewTerm <= Promised)
    return;
  Promised = NewTerm;
  Primary = false;
  Following.clear();
  PrimaryHeard.reset();
}

bool InstanceModel::promote(Term NewTerm, TimePoint Now) {
  if (NewTerm < Promised)
    return false;
  if (Primary && NewTerm == Promised)
    return true;
  fence(NewTerm);
  Primary = true;
  Following.clear();
  // An entry of the new term lets it be confirmed before the first write.
  append(LogEntry{}, Now);
  return true;
}

bool InstanceModel::follow(Term NewTerm, const std::string &NewPrimary,
                           LogIndex LastIndex, TimePoint Now) {
  if (NewTerm < Promised || (Primary && NewTerm == Promised))
    return false;
  if (NewTerm == Promised && Following == NewPrimary)
    return true;
  fence(NewTerm);
  // Entries of this very term were received from this primary before.
  bool HasTermEntries = received().WrittenIn == NewTerm;
  if (!HasTermEntries)
    truncate(LastIndex);
  Following = NewPrimary;
  FollowingSince = Now;
  return true;
}

PullRequest InstanceModel::pullRequest() const {
  return PullRequest{.Of = Promised, .Have = received()};
}

PullAnswer InstanceModel::answerPull(const PullRequest &Request) const {
  PullAnswer Answer;
  Answer.Of = Promised;
  if (!Primary || Request.Of != Promised)
    return Answer;
  Answer.Accepted = true;
  LogIndex Have = Request.Have.Index;
  if (Have > Log.size() || positionAt(Have) != Request.Have) {
    Answer.Mismatch = true;
    return Answer;
  }
  Answer.FirstIndex = Have + 1;
  std::size_t End = std::min<std::size_t>(Log.size(), Have + MaxPullEntries);
  Answer.Entries.assign(Log.begin() + static_cast<std::ptrdiff_t>(Have),
                        Log.begin() + static_cast<std::ptrdiff_t>(End));
  return Answer;
}

void InstanceModel::takePull(const PullAnswer &Answer, TimePoint Sent,
                             TimePoint Now) {
  if (!Answer.Accepted || Answer.Of != Promised || Following.empty())
    return;
  PrimaryHeard = std::max(PrimaryHeard.value_or(Sent), Sent);
  if (Answer.Mismatch) {
    truncate(Log.empty() ? 0 : Log.size() - 1);
    return;
  }
  if (Answer.FirstIndex != Log.size() + 1)
    return;
  for (const LogEntry &Entry : Answer.Entries) {
    Log.push_back(Entry);
    ReceivedAt.push_back(Now);
  }
}

void InstanceModel::apply(TimePoint Now, Duration Lag) {
  LogIndex Index = AppliedIndex;
  while (Index < Log.size() && ReceivedAt[Index] + Lag <= Now)
    ++Index;
  applyUpTo(Index);
}

void InstanceModel::applyUpTo(LogIndex Index) {
  for (; AppliedIndex < Index; ++AppliedIndex) {
    const LogEntry &Entry = Log[AppliedIndex];
    for (const auto &[Key, Value] : Entry.Puts)
      Values[Key] = Value;
    if (!Entry.Key.empty())
      Keys[Entry.Key] = Entry.KeyAnswer;
  }
}

void InstanceModel::truncate(LogIndex LastIndex) {
  if (Log.size() <= LastIndex)
    return;
  Log.resize(LastIndex);
  ReceivedAt.resize(LastIndex);
  if (AppliedIndex > LastIndex)
    rebuild();
}

void InstanceModel::rebuild() {
  LogIndex Target = std::min<LogIndex>(AppliedIndex, Log.size());
  Values.clear();
  Keys.clear();
  AppliedIndex = 0;
  applyUpTo(Target);
}

Status InstanceModel::check(Term Believed, bool Write) const {
  if (Believed != Promised)
    return Error{.Code = ErrorCode::StaleTerm,
                 .Outcome = Verdict::NotRun,
                 .Message =
                     "this instance is in term " + std::to_string(Promised)};
  if (Write && !Primary)
    return Error{.Code = ErrorCode::NotPrimary,
                 .Outcome = Verdict::NotRun,
                 .Message = "this instance is not the primary"};
  if (!Primary && Following.empty())
    return Error{.Code = ErrorCode::NotPrimary,
                 .Outcome = Verdict::NotRun,
                 .Message = "this instance is fenced"};
  return std::monostate();
}

LogPosition InstanceModel::append(LogEntry Entry, TimePoint Now) {
  Entry.WrittenIn = Promised;
  Log.push_back(std::move(Entry));
  ReceivedAt.push_back(Now);
  applyUpTo(Log.size());
  return received();
}

std::optional<std::string> InstanceModel::value(const std::string &Key) const {
  auto It = Values.find(Key);
  if (It == Values.end())
    return std::nullopt;
  return It->second;
}

std::optional<std::string>
InstanceModel::keyAnswer(const std::string &Key) const {
  auto It = Keys.find(Key);
  if (It == Keys.end())
    return std::nullopt;
  return It->second;
}

} // namespace cicadawind::fakes
