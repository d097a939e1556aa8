// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Promotion/TargetSurvey.h"

#include "Async/AsyncSignal.h"
#include "Observability/Log.h"
#include "Proxy/ProxyService.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace cicadawind {
namespace internal {

static const Log Logger("promotion");

} // namespace internal

std::vector<SuccessorCandidate> candidatesFrom(const GroupDispatcher &Group,
                                               const TargetStatuses &Statuses,
                                               const std::string &OldPrimary) {
  std::vector<SuccessorCandidate> Out;
  TimePoint Now = BootClock::now();
  for (const auto &[Name, Status] : Statuses) {
    const TargetEntry *Entry = Group.findEntry(Name);
    if (!Entry || Name == OldPrimary || Status.IsPrimary)
      continue;
    Out.push_back({.Instance = Name,
                   .Follows = Status.CurrentTerm,
                   .Received = Status.Received,
                   .IsLeaving = Entry->Leaving,
                   .MayLead = Group.leavingBound().mayLead(*Entry, Now)});
  }
  return Out;
}

boost::asio::awaitable<TargetStatuses>
TargetSurvey::run(std::string Group, std::string ExcludedInstance) {
  auto Replies = std::make_shared<TargetStatuses>();
  auto Outstanding = std::make_shared<std::size_t>(0);
  GroupDispatcher *Dispatcher = Service.findGroup(Group);
  if (!Dispatcher)
    co_return *Replies;
  for (const TargetEntry &Entry : Dispatcher->entries()) {
    if (Entry.Instance == ExcludedInstance)
      continue;
    ++*Outstanding;
    Dispatcher->askStatus(Entry.Instance,
                          [Replies, Outstanding](const std::string &Instance,
                                                 const TargetStatus *Status) {
                            --*Outstanding;
                            if (Status)
                              (*Replies)[Instance] = *Status;
                          });
  }
  TimePoint End = BootClock::now() + Opts.Timeout;
  while (*Outstanding > 0 && BootClock::now() < End)
    co_await sleepFor(Opts.PollInterval);
  co_return *Replies;
}

namespace internal {

/// \class StatusPoll
/// \brief Asks targets for their statuses again and again, each once at a time,
/// and keeps the latest replies.
class StatusPoll {
public:
  void ask(GroupDispatcher &Group, const std::string &Instance) {
    if (!Shared->Asked.insert(Instance).second)
      return;
    Group.askStatus(Instance, [Data = Shared](const std::string &Name,
                                              const TargetStatus *Status) {
      Data->Asked.erase(Name);
      if (Status)
        Data->Replies[Name] = *Status;
    });
  }
  const TargetStatuses &replies() const { return Shared->Replies; }

private:
  /// Outlives the poll, for replies that arrive later.
  struct State {
    std::set<std::string> Asked;
    TargetStatuses Replies;
  };

  std::shared_ptr<State> Shared = std::make_shared<State>();
};

} // namespace internal

boost::asio::awaitable<TargetStatuses>
TargetSurvey::askAgain(std::string Group, std::set<std::string> Instances,
                       TimePoint End) {
  internal::StatusPoll Poll;
  while (Poll.replies().size() < Instances.size() && BootClock::now() < End) {
    GroupDispatcher *Dispatcher = Service.findGroup(Group);
    if (!Dispatcher)
      break;
    for (const std::string &Each : Instances)
      if (!Poll.replies().count(Each))
        Poll.ask(*Dispatcher, Each);
    co_await sleepFor(Opts.PollInterval);
  }
  co_return Poll.replies();
}

bool StepDownReport::hasCaughtUp(const std::string &Instance) const {
  auto It = Replies.find(Instance);
  return FinalPosition && It != Replies.end() &&
         It->second.Received >= *FinalPosition;
}

bool StepDownReport::hasAnyCaughtUp() const {
  return std::any_of(Replies.begin(), Replies.end(),
                     [&](const auto &Each) { return hasCaughtUp(Each.first); });
}

boost::asio::awaitable<std::optional<LogPosition>>
TargetSurvey::demote(std::string Group, std::string Instance, Term Below,
                     TimePoint End) {
  auto FinalPosition = std::make_shared<std::optional<LogPosition>>();
  auto IsAsked = std::make_shared<bool>(false);
  while (!*FinalPosition && BootClock::now() < End) {
    GroupDispatcher *Dispatcher = Service.findGroup(Group);
    if (!Dispatcher)
      break;
    if (!std::exchange(*IsAsked, true))
      Dispatcher->demote(Instance, Below,
                         [FinalPosition, IsAsked](const std::string &,
                                                  const TargetStatus *Status) {
                           *IsAsked = false;
                           if (Status && !Status->IsPrimary)
                             *FinalPosition = Status->Received;
                         });
    co_await sleepFor(Opts.PollInterval);
  }
  co_return *FinalPosition;
}

boost::asio::awaitable<StepDownReport>
TargetSurvey::stepDown(std::string Group, std::string OldPrimary,
                       std::string Successor, Term Below) {
  TimePoint End = BootClock::now() + Opts.CatchUpTimeout;
  StepDownReport Out;
  Out.FinalPosition = co_await demote(Group, OldPrimary, Below, End);
  internal::StatusPoll Poll;
  while (Out.FinalPosition && BootClock::now() < End &&
         !Out.hasCaughtUp(Successor)) {
    GroupDispatcher *Dispatcher = Service.findGroup(Group);
    if (!Dispatcher)
      break;
    for (const TargetEntry &Entry : Dispatcher->entries())
      if (Entry.Instance != OldPrimary)
        Poll.ask(*Dispatcher, Entry.Instance);
    co_await sleepFor(Opts.PollInterval);
    Out.Replies = Poll.replies();
  }
  internal::Logger.info(
      "primary steps down",
      {{"group", Group},
       {"target", OldPrimary},
       {"successor", Successor},
       {"log_ends",
        Out.FinalPosition ? toString(*Out.FinalPosition) : "unknown"},
       {"caught_up", Out.hasCaughtUp(Successor) ? "yes" : "no"}});
  co_return Out;
}

boost::asio::awaitable<bool> TargetSurvey::awaitPrimary(std::string Group,
                                                        std::string Instance,
                                                        Duration Timeout) {
  TimePoint End = BootClock::now() + Timeout;
  while (BootClock::now() < End) {
    GroupDispatcher *Dispatcher = Service.findGroup(Group);
    if (!Dispatcher)
      co_return false;
    // A new epoch alone does not show that Instance is primary: a late proof of
    // the old primary changes the epoch, too.
    const PrimaryTracker &Tracker = Dispatcher->tracker();
    if (Tracker.primary() == Instance && Tracker.isConfirmed())
      co_return true;
    Dispatcher->askStatus(Instance, [this, Group](const std::string &Name,
                                                  const TargetStatus *Status) {
      GroupDispatcher *Found = Service.findGroup(Group);
      if (Found && Status && Status->IsPrimary)
        Found->recordPrimaryClaim(Name);
    });
    co_await sleepFor(Opts.PollInterval);
  }
  internal::Logger.warning(
      "promoted target was not confirmed as primary; retrying after a "
      "backoff",
      {{"group", Group}, {"target", Instance}});
  co_return false;
}

} // namespace cicadawind
