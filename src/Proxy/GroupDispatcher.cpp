// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Proxy/GroupDispatcher.h"

#include "Observability/Log.h"
#include "Proxy/TargetRelay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cassert>

namespace cicadawind {
namespace internal {

static const Log Logger("dispatch");
/// Replicas that a read may try before the primary.
constexpr std::size_t MaxReplicaAttempts = 8;
/// Pause before a replica that lacked a position is tried again.
constexpr Duration BehindPause = std::chrono::milliseconds(40);
/// Pause before another connection after one failed, by failures in a row.
constexpr Duration OpenPause = std::chrono::milliseconds(50);
constexpr unsigned MaxOpenPauses = 4;
/// How long a refusal for too many connections lowers this VM's share.
constexpr Duration CapTime = std::chrono::milliseconds(1500);

} // namespace internal

static ReadRouter::Options routerOptions(const GroupDispatcher::Options &Opts) {
  ReadRouter::Options Out;
  Out.FailureDomain = Opts.FailureDomain;
  Out.Region = Opts.Region;
  Out.MaxReplicaAttempts = internal::MaxReplicaAttempts;
  return Out;
}

GroupDispatcher::GroupDispatcher(boost::asio::io_context &Loop, Options NewOpts)
    : Loop(Loop), Opts(std::move(NewOpts)), Watch(Opts.Watch),
      Router(routerOptions(Opts), Opts.Random) {
  assert(Opts.Codec && "a dispatcher needs a codec");
}

GroupDispatcher::~GroupDispatcher() { *Alive = false; }

GroupDispatcher::Target *GroupDispatcher::find(const std::string &Instance) {
  auto It = Targets.find(Instance);
  return It == Targets.end() ? nullptr : &It->second;
}

InstanceView *GroupDispatcher::viewOf(const std::string &Instance) {
  for (InstanceView &View : Views)
    if (View.Name == Instance)
      return &View;
  return nullptr;
}

const TargetEntry *
GroupDispatcher::findEntry(const std::string &Instance) const {
  auto It = Targets.find(Instance);
  return It == Targets.end() ? nullptr : &It->second.Entry;
}

bool GroupDispatcher::isUnreachable(const std::string &Instance) const {
  auto It = Targets.find(Instance);
  return It == Targets.end() || It->second.UnreachableSince.has_value();
}

std::vector<TargetEntry> GroupDispatcher::entries() const {
  std::vector<TargetEntry> Out;
  for (const auto &[Name, T] : Targets)
    Out.push_back(T.Entry);
  return Out;
}

void GroupDispatcher::dropTarget(const std::string &Instance) {
  Target *T = find(Instance);
  if (!T)
    return;
  for (const std::shared_ptr<TargetLink> &Link : T->Free)
    Link->close();
  Targets.erase(Instance);
  Views.erase(std::remove_if(Views.begin(), Views.end(),
                             [&](const InstanceView &View) {
                               return View.Name == Instance;
                             }),
              Views.end());
}

void GroupDispatcher::setTargets(const std::vector<TargetEntry> &Entries,
                                 TimePoint Now) {
  std::map<std::string, const TargetEntry *> Wanted;
  for (const TargetEntry &Entry : Entries)
    Wanted[Entry.Instance] = &Entry;
  std::vector<std::string> Gone;
  for (const auto &[Name, T] : Targets) {
    auto It = Wanted.find(Name);
    bool Same = It != Wanted.end() &&
                It->second->Incarnation == T.Entry.Incarnation &&
                It->second->Address == T.Entry.Address;
    if (!Same)
      Gone.push_back(Name);
  }
  for (const std::string &Name : Gone) {
    internal::Logger.info("target gone",
                          {{"group", Opts.Group}, {"target", Name}});
    dropTarget(Name);
    Leader.forget(Name);
  }
  for (const TargetEntry &Entry : Entries) {
    auto [It, IsNew] = Targets.try_emplace(Entry.Instance);
    Target &T = It->second;
    bool Changed = IsNew || T.Entry != Entry;
    T.Entry = Entry;
    if (IsNew) {
      InstanceView View;
      View.Name = Entry.Instance;
      View.FailureDomain = Entry.FailureDomain;
      auto Region = Opts.Regions.find(Entry.FailureDomain);
      View.Region = Region == Opts.Regions.end() ? "" : Region->second;
      Views.push_back(View);
    }
    viewOf(Entry.Instance)->Leaving = Entry.Leaving;
    if (!Changed)
      continue;
    Leader.noteClaim(Entry.Instance, Entry.ClaimsPrimary, Now);
    internal::Logger.info(
        "target known",
        {{"group", Opts.Group},
         {"target", Entry.Instance},
         {"address", Entry.Address},
         {"domain", Entry.FailureDomain},
         {"leaving", Entry.Leaving ? "yes" : "no"},
         {"claims_primary", Entry.ClaimsPrimary ? "yes" : "no"}});
    if (IsNew && Share > 0)
      openLink(Entry.Instance, Now);
  }
  Watch.setPrimary(Leader.primary(), Now);
  schedulePump();
}

GroupDispatcher::Ticket GroupDispatcher::submit(LinkRequest Request) {
  Ticket Id = ++LastTicket;
  // The hook may submit again, so the request is placed before it is queued.
  if (tryPlace(Request, BootClock::now()))
    return Id;
  PriorityOf[Id] = Request.Priority;
  Queue.emplace(QueueKey(Request.Priority, Id), std::move(Request));
  return Id;
}

void GroupDispatcher::cancel(Ticket Id) {
  auto It = PriorityOf.find(Id);
  if (It == PriorityOf.end())
    return;
  Queue.erase(QueueKey(It->second, Id));
  PriorityOf.erase(It);
}

std::vector<std::string>
GroupDispatcher::candidatesFor(const LinkRequest &Request,
                               std::optional<LogPosition> Position,
                               TimePoint Now) {
  std::vector<std::string> Names;
  const std::string &Primary = Leader.primary();
  if (Request.NeedsPrimary || !Position) {
    if (!Primary.empty())
      Names.push_back(Primary);
    return Names;
  }
  ReadNeed Need{.AcceptedAge = Request.AcceptedAge, .AtLeast = *Position};
  Names = Router.plan(Need, Views, Primary, Now);
  bool HasOther =
      std::any_of(Names.begin(), Names.end(), [&](const std::string &Name) {
        return Name != Request.Avoid;
      });
  if (HasOther)
    Names.erase(std::remove(Names.begin(), Names.end(), Request.Avoid),
                Names.end());
  return Names;
}

bool GroupDispatcher::grantFrom(const std::string &Instance,
                                LinkRequest &Request,
                                std::optional<LogPosition> Position,
                                bool HasAlternatives) {
  Target *T = find(Instance);
  if (!T)
    return false;
  while (!T->Free.empty() && !T->Free.back()->isOpen())
    T->Free.pop_back();
  bool IsPrimary = Instance == Leader.primary();
  // The last free connection of the primary is kept for what needs it.
  bool Spill = IsPrimary && !Request.NeedsPrimary && HasAlternatives;
  if (T->Free.size() < (Spill ? 2U : 1U) || !T->Running.allows(T->lent()))
    return false;
  LinkGrant Grant;
  Grant.Link = T->Free.back();
  T->Free.pop_back();
  Grant.Instance = Instance;
  Grant.IsPrimary = IsPrimary;
  if (!IsPrimary)
    Grant.After = Position;
  Request.Granted(std::move(Grant));
  return true;
}

bool GroupDispatcher::tryPlace(LinkRequest &Request, TimePoint Now) {
  if (Now < Request.NotBefore)
    return false;
  std::optional<LogPosition> Position;
  if (!Request.NeedsPrimary) {
    Position = Leader.positionFor(Request.Horizon, Request.Own);
    std::optional<LeaderProof> Newest = Leader.newest();
    if (!Newest || Now - Newest->Asked > Opts.ProofAge)
      ProofWanted = true;
  }
  std::vector<std::string> Names = candidatesFor(Request, Position, Now);
  for (const std::string &Name : Names)
    if (grantFrom(Name, Request, Position, Names.size() > 1))
      return true;
  for (const std::string &Name : Names) {
    Target *T = find(Name);
    if (T && mayOpen(*T, Now)) {
      openLink(Name, Now);
      break;
    }
  }
  return false;
}

bool GroupDispatcher::mayOpen(const Target &T, TimePoint Now) const {
  unsigned Limit = Now < T.CapUntil ? std::min(Share, T.Cap) : Share;
  // Each opening takes a slot of the target for longer than a statement does.
  return T.All.size() < Limit && T.Running.allows(T.All.size()) &&
         Now >= T.NextOpen && T.Opening == 0;
}

std::string GroupDispatcher::relayFor(const std::string &Instance,
                                      const Target &T, TimePoint Now) const {
  bool Direct = !T.UnreachableSince || Now - T.LastDirect > Opts.DirectPause;
  if (Direct || Instance != Watch.primary() || !Opts.RelayOf)
    return {};
  std::optional<std::string> Peer = Watch.relayPeer(Now);
  return Peer ? Opts.RelayOf(*Peer) : std::string();
}

void GroupDispatcher::openLink(const std::string &Instance, TimePoint Now) {
  Target *T = find(Instance);
  assert(T && "only known targets are connected to");
  TargetLink::Options LinkOpts;
  LinkOpts.Codec = Opts.Codec;
  LinkOpts.Group = Opts.Group;
  LinkOpts.Instance = Instance;
  LinkOpts.Address = T->Entry.Address;
  LinkOpts.Stream = Opts.Stream;
  std::string Relay = relayFor(Instance, *T, Now);
  if (!Relay.empty()) {
    LinkOpts.Address = Relay;
    LinkOpts.RelayRequest = TargetRelay::requestFor(Opts.Group, Instance);
  }
  auto Link = std::make_shared<TargetLink>(Loop, LinkOpts);
  ++T->Opening;
  ++Opened;
  T->All.push_back(Link);
  Link->open([this, Still = Alive, Instance, Link](std::optional<Error> E) {
    if (*Still)
      onOpened(Instance, Link, std::move(E));
  });
}

void GroupDispatcher::onOpened(const std::string &Instance,
                               const std::shared_ptr<TargetLink> &Link,
                               std::optional<Error> Failure) {
  TimePoint Now = BootClock::now();
  Target *T = find(Instance);
  if (!T)
    return Link->close();
  if (T->Opening > 0)
    --T->Opening;
  if (!Failure) {
    if (!Link->isRelayed())
      T->UnreachableSince.reset();
    else if (T->FailuresInRow > 0)
      internal::Logger.info("target reached through a peer",
                            {{"group", Opts.Group}, {"target", Instance}});
    T->FailuresInRow = 0;
    Watch.noteContact(Instance, Now);
    Link->onLost([this, Still = Alive, Instance] {
      if (*Still)
        onLinkLost(Instance);
    });
    return giveBack(Link);
  }
  // Further failures in a row say nothing new.
  if (T->FailuresInRow < internal::MaxOpenPauses)
    internal::Logger.info("connection not opened",
                          {{"group", Opts.Group},
                           {"target", Instance},
                           {"address", Link->address()},
                           {"through_peer", Link->isRelayed() ? "yes" : "no"},
                           {"code", std::string(toString(Failure->Code))},
                           {"why", Failure->Message}});
  T->All.erase(std::remove_if(T->All.begin(), T->All.end(),
                              [&](const std::weak_ptr<TargetLink> &Weak) {
                                auto Each = Weak.lock();
                                return !Each || Each == Link;
                              }),
               T->All.end());
  T->FailuresInRow = std::min(T->FailuresInRow + 1, internal::MaxOpenPauses);
  T->NextOpen = Now + T->FailuresInRow * internal::OpenPause;
  if (Failure->Code == ErrorCode::TooManyConnections) {
    T->Cap = std::max<unsigned>(1, T->All.size());
    T->CapUntil = Now + internal::CapTime;
    return;
  }
  if (!Link->isRelayed())
    T->noteUnreachable(Now);
  Watch.noteFailure(Instance, Now);
  if (InstanceView *View = viewOf(Instance))
    View->NotBefore = T->NextOpen;
}

void GroupDispatcher::onLinkLost(const std::string &Instance) {
  Watch.noteFailure(Instance, BootClock::now());
  schedulePump();
}

void GroupDispatcher::giveBack(const std::shared_ptr<TargetLink> &Link) {
  // From here on a session limits its requests.
  Probes.erase(Link.get());
  Target *T = find(Link->instance());
  if (!T || !Link->isOpen() || !Link->isIdle())
    return Link->close();
  if (serveStatus(*T, Link))
    return;
  T->Free.push_back(Link);
  schedulePump();
}

void GroupDispatcher::learn(const std::string &Instance,
                            const TargetReply &Reply, bool ProvesLead) {
  TimePoint Now = BootClock::now();
  Watch.noteContact(Instance, Now);
  bool Succeeded = Reply.Receipt.has_value();
  if (ProvesLead && Succeeded && Reply.Ready.Position) {
    std::string Before = Leader.primary();
    std::uint64_t Epoch = Leader.epoch();
    Leader.proveLead(Instance, *Reply.Ready.Position, Reply.SentAt);
    if (Epoch != Leader.epoch())
      internal::Logger.info("primary proved",
                            {{"group", Opts.Group},
                             {"target", Leader.primary()},
                             {"before", Before},
                             {"term", std::to_string(Leader.term())},
                             {"epoch", std::to_string(Leader.epoch())}});
  }
  if (Reply.Refused && Reply.Refused->Code == ErrorCode::NotPrimary) {
    if (Instance == Leader.primary())
      internal::Logger.info("target is not primary",
                            {{"group", Opts.Group}, {"target", Instance}});
    Leader.refuteLead(Instance, Reply.SentAt);
  }
  Watch.setPrimary(Leader.primary(), Now);
  if (Target *T = find(Instance)) {
    if (Reply.Refused && Reply.Refused->Code == ErrorCode::Overloaded)
      T->Running.onRefused(T->lent());
    else if (Succeeded)
      T->Running.onServed();
  }
  InstanceView *View = viewOf(Instance);
  if (!View)
    return;
  if (Reply.Refused && Reply.Refused->Code == ErrorCode::ReplicaBehind)
    View->NotBefore = Now + internal::BehindPause;
  if (!Reply.Ready.Position)
    return;
  std::optional<Duration> Age = Leader.ageOf(*Reply.Ready.Position, Now);
  if (Age)
    View->learn(*Reply.Ready.Position, toMillis(*Age), Now);
}

void GroupDispatcher::learnProof(const std::string &Instance, LogPosition End,
                                 TimePoint Asked) {
  if (!find(Instance))
    return;
  std::uint64_t Epoch = Leader.epoch();
  Leader.proveLead(Instance, End, Asked);
  Watch.setPrimary(Leader.primary(), BootClock::now());
  if (Epoch != Leader.epoch())
    internal::Logger.info("primary proved to a peer",
                          {{"group", Opts.Group},
                           {"target", Instance},
                           {"term", std::to_string(Leader.term())}});
  schedulePump();
}

void GroupDispatcher::noteSilence(const std::string &Instance) {
  TimePoint Now = BootClock::now();
  Watch.noteFailure(Instance, Now);
  if (InstanceView *View = viewOf(Instance))
    View->NotBefore = Now + Opts.ProbeLimit;
  Target *T = find(Instance);
  if (T)
    T->noteUnreachable(Now);
  // What waits idle on the same path is probably as silent.
  if (T)
    for (const std::shared_ptr<TargetLink> &Link : std::exchange(T->Free, {}))
      Link->close();
}

void GroupDispatcher::schedulePump() {
  if (PumpScheduled)
    return;
  PumpScheduled = true;
  boost::asio::post(Loop, [this, Still = Alive] {
    if (!*Still)
      return;
    PumpScheduled = false;
    pump();
  });
}

void GroupDispatcher::pump() {
  TimePoint Now = BootClock::now();
  std::vector<QueueKey> Keys;
  for (const auto &[Key, Request] : Queue)
    Keys.push_back(Key);
  for (const QueueKey &Key : Keys) {
    auto It = Queue.find(Key);
    if (It == Queue.end())
      continue;
    LinkRequest Request = std::move(It->second);
    Queue.erase(It);
    PriorityOf.erase(Key.second);
    if (tryPlace(Request, Now))
      continue;
    PriorityOf[Key.second] = Key.first;
    Queue.emplace(Key, std::move(Request));
  }
}

void GroupDispatcher::expire(TimePoint Now) {
  std::vector<LinkRequest> Late;
  for (auto It = Queue.begin(); It != Queue.end();) {
    if (Now < It->second.GiveUpAt) {
      ++It;
      continue;
    }
    PriorityOf.erase(It->first.second);
    Late.push_back(std::move(It->second));
    It = Queue.erase(It);
  }
  for (LinkRequest &Request : Late)
    Request.Refused(
        Error{.Code = ErrorCode::Overloaded,
              .Message = Leader.primary().empty() && Request.NeedsPrimary
                             ? "no primary is known"
                             : "no connection became free in time"});
}

void GroupDispatcher::checkLinks(TimePoint Now) {
  for (auto &[Name, T] : Targets) {
    std::vector<std::shared_ptr<TargetLink>> Overdue;
    for (const std::weak_ptr<TargetLink> &Weak : T.All) {
      std::shared_ptr<TargetLink> Link = Weak.lock();
      std::optional<TimePoint> Since;
      if (Link)
        Since = Link->waitingSince();
      if (!Since)
        continue;
      if (Now - *Since > Opts.SilenceLimit)
        noteUnanswered(Name, *Since, Now);
      if (!Link->isOpen() && Now - *Since > Opts.OpenLimit)
        Overdue.push_back(Link);
    }
    for (const std::shared_ptr<TargetLink> &Link : Overdue)
      Link->abandon();
    T.All.erase(std::remove_if(T.All.begin(), T.All.end(),
                               [](const std::weak_ptr<TargetLink> &Weak) {
                                 auto Link = Weak.lock();
                                 return !Link || Link->isClosed();
                               }),
                T.All.end());
    T.Free.erase(std::remove_if(T.Free.begin(), T.Free.end(),
                                [](const std::shared_ptr<TargetLink> &Link) {
                                  return !Link->isOpen();
                                }),
                 T.Free.end());
  }
}

void GroupDispatcher::noteUnanswered(const std::string &Instance,
                                     TimePoint Since, TimePoint Now) {
  // A target that answers others in the meantime is slow, not silent.
  std::optional<Duration> Heard = Watch.heard(Instance, Now);
  if (!Heard || *Heard >= Now - Since)
    Watch.noteFailure(Instance, Since);
}

void GroupDispatcher::checkProbes(TimePoint Now) {
  std::vector<std::shared_ptr<TargetLink>> Silent;
  for (auto It = Probes.begin(); It != Probes.end();) {
    std::shared_ptr<TargetLink> Link = It->second.lock();
    std::optional<TimePoint> Since;
    if (Link && Link->isOpen())
      Since = Link->waitingSince();
    if (Since && Now - *Since <= Opts.ProbeLimit) {
      ++It;
      continue;
    }
    if (Since)
      Silent.push_back(Link);
    It = Probes.erase(It);
  }
  for (const std::shared_ptr<TargetLink> &Link : Silent) {
    internal::Logger.info("target is silent", {{"group", Opts.Group},
                                               {"target", Link->instance()}});
    noteSilence(Link->instance());
    Link->abandon();
  }
}

void GroupDispatcher::refreshProof(TimePoint Now) {
  bool Unproved = !Leader.primary().empty() && !Leader.isProved();
  // Evidence on a primary in doubt must not depend on callers' traffic.
  if (Watch.failingSince())
    ProofWanted = true;
  std::optional<LeaderProof> Newest = Leader.newest();
  bool Old = !Newest || Now - Newest->Asked > 2 * Opts.ProofAge;
  if (ProofWanted && Old && Opts.AskPeers)
    Opts.AskPeers(Opts.Group, "");
  if (!(ProofWanted || Unproved) || ProofUnderway || Leader.primary().empty())
    return;
  ProofWanted = false;
  ProofUnderway = true;
  LinkRequest Request;
  Request.GiveUpAt = Now + Opts.ProbeLimit;
  Request.Refused = [this](const Error &) { ProofUnderway = false; };
  Request.Granted = [this](LinkGrant Grant) {
    // The target checks its lead when a transaction begins.
    std::shared_ptr<TargetLink> Link = Grant.Link;
    Probes[Link.get()] = Link;
    Link->begin(false, std::nullopt,
                [this, Still = Alive, Link](const TargetReply *Reply) {
                  if (!*Still)
                    return;
                  ProofUnderway = false;
                  if (!Reply)
                    return;
                  learn(Link->instance(), *Reply, true);
                  Link->rollback([this, Still, Link](const TargetReply *Ended) {
                    if (*Still && Ended)
                      giveBack(Link);
                  });
                });
  };
  submit(std::move(Request));
}

void GroupDispatcher::searchPrimary(TimePoint Now) {
  bool Known = !Leader.primary().empty();
  if (Known)
    WithoutPrimarySince.reset();
  else if (!WithoutPrimarySince)
    WithoutPrimarySince = Now;
  if (Known || Now - LastSearch < Opts.SearchPause)
    return;
  LastSearch = Now;
  std::vector<std::string> Names;
  for (const auto &[Name, T] : Targets)
    Names.push_back(Name);
  for (const std::string &Each : Names)
    askStatus(Each,
              [this](const std::string &Instance, const TargetStatus *Status) {
                if (Status && Status->IsPrimary && Leader.primary().empty())
                  noteClaim(Instance);
              });
  if (Opts.AskPeers)
    Opts.AskPeers(Opts.Group, "");
}

void GroupDispatcher::noteClaim(const std::string &Instance) {
  TimePoint Now = BootClock::now();
  Leader.noteClaim(Instance, true, Now);
  Watch.setPrimary(Leader.primary(), Now);
  schedulePump();
}

bool GroupDispatcher::hasNoPrimary(TimePoint Now) const {
  return WithoutPrimarySince && !Targets.empty() &&
         Now - *WithoutPrimarySince > Opts.NoPrimaryAfter;
}

void GroupDispatcher::askStatus(const std::string &Instance, StatusHook Hook) {
  TimePoint Now = BootClock::now();
  Target *T = find(Instance);
  if (!T)
    return Hook(Instance, nullptr);
  while (!T->Free.empty() && !T->Free.back()->isOpen())
    T->Free.pop_back();
  T->StatusWaiters.push_back(
      {.Hook = std::move(Hook), .GiveUpAt = Now + Opts.ProbeLimit});
  if (!T->Free.empty()) {
    std::shared_ptr<TargetLink> Link = T->Free.back();
    T->Free.pop_back();
    serveStatus(*T, Link);
    return;
  }
  if (T->All.size() < std::max(Share, 1U) && Now >= T->NextOpen)
    openLink(Instance, Now);
}

bool GroupDispatcher::serveStatus(Target &T,
                                  const std::shared_ptr<TargetLink> &Link) {
  if (T.StatusWaiters.empty())
    return false;
  // One answer serves all that wait.
  std::deque<StatusWaiter> Waiters = std::exchange(T.StatusWaiters, {});
  Probes[Link.get()] = Link;
  Link->askStatus(
      [this, Still = Alive, Link, Waiters](const TargetReply *Reply) {
        if (!*Still)
          return;
        if (Reply)
          giveBack(Link);
        for (const StatusWaiter &Each : Waiters)
          takeStatus(Link->instance(), Reply, Each.Hook);
      });
  return true;
}

void GroupDispatcher::expireStatus(TimePoint Now) {
  std::vector<std::pair<std::string, StatusHook>> Late;
  for (auto &[Name, T] : Targets)
    while (!T.StatusWaiters.empty() &&
           Now >= T.StatusWaiters.front().GiveUpAt) {
      Late.emplace_back(Name, std::move(T.StatusWaiters.front().Hook));
      T.StatusWaiters.pop_front();
    }
  for (const auto &[Name, Hook] : Late)
    Hook(Name, nullptr);
}

void GroupDispatcher::demote(const std::string &Instance, Term Below,
                             StatusHook Hook) {
  Target *T = find(Instance);
  if (!T || T->Free.empty())
    return Hook(Instance, nullptr);
  std::shared_ptr<TargetLink> Link = T->Free.back();
  T->Free.pop_back();
  Probes[Link.get()] = Link;
  Link->demote(Below, [this, Still = Alive, Link, Hook](const TargetReply *R) {
    if (!*Still)
      return;
    if (R)
      giveBack(Link);
    takeStatus(Link->instance(), R, Hook);
  });
}

void GroupDispatcher::takeStatus(const std::string &Instance,
                                 const TargetReply *Reply,
                                 const StatusHook &Hook) {
  std::optional<TargetStatus> Status;
  if (Reply && Reply->Rows.size() == 1)
    Status = Opts.Codec->decodeStatus(Reply->Rows.front());
  if (Reply)
    Watch.noteContact(Instance, BootClock::now());
  Hook(Instance, Status ? &*Status : nullptr);
}

void GroupDispatcher::sweep(TimePoint Now) {
  expire(Now);
  expireStatus(Now);
  checkLinks(Now);
  checkProbes(Now);
  searchPrimary(Now);
  refreshProof(Now);
  if (!Queue.empty())
    pump();
}

void GroupDispatcher::stop() {
  for (auto &[Name, T] : Targets)
    for (const std::shared_ptr<TargetLink> &Link : std::exchange(T.Free, {}))
      Link->close();
}

} // namespace cicadawind
