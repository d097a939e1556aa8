// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Dispatch/GroupDispatcher.h"

#include "Leases/FencedPrimaryGuard.h"
#include "Observability/Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cassert>

namespace cicadawind {
namespace internal {

static const Log Logger("dispatch");
/// Maximum number of replicas that a read tries before the primary.
constexpr std::size_t MaxReplicaAttempts = 8;

/// Returns whether the registry says the same in both entries. Since when a
/// target leaves is said by other VMs.
static bool isSameReport(TargetEntry A, const TargetEntry &B) {
  A.LeavingSince = B.LeavingSince;
  return A == B;
}
} // namespace internal

static ReadRouter::Options routerOptions(const GroupDispatcher::Options &Opts) {
  ReadRouter::Options Out;
  Out.FailureDomain = Opts.FailureDomain;
  Out.Region = Opts.Region;
  Out.MaxReplicaAttempts = internal::MaxReplicaAttempts;
  return Out;
}

GroupDispatcher::GroupDispatcher(boost::asio::io_context &Loop, Options NewOpts)
    : Loop(Loop), Opts(std::move(NewOpts)), Bound(Opts.Leaving),
      FailureDetector(Opts.FailureDetector),
      Guard(Opts.MakeGuard ? Opts.MakeGuard()
                           : std::make_unique<FencedPrimaryGuard>()),
      Router(routerOptions(Opts), Opts.Random) {
  assert(Opts.Codec && "a dispatcher needs a codec");
  auto Hooks = std::make_shared<TargetConnections::Events>();
  Hooks->OnContact = [this](const std::string &Instance) {
    FailureDetector.recordContact(Instance, BootClock::now());
  };
  Hooks->OnFailure = [this](const std::string &Instance, TimePoint Since) {
    onFailure(Instance, Since);
  };
  Hooks->OnTimeout = [this](const std::string &Instance) {
    recordTimeout(Instance);
  };
  Hooks->OnRelayFailed = [this](const std::string &Vm) {
    if (Opts.OnRelayFailed)
      Opts.OnRelayFailed(Vm);
    scheduleDispatch();
  };
  Hooks->OnAvailable = [this] { scheduleDispatch(); };
  Callbacks = std::move(Hooks);
}

GroupDispatcher::~GroupDispatcher() { *Alive = false; }

TargetConnections *GroupDispatcher::find(const std::string &Instance) const {
  auto It = Targets.find(Instance);
  return It == Targets.end() ? nullptr : It->second.get();
}

InstanceView *GroupDispatcher::viewOf(const std::string &Instance) {
  for (InstanceView &View : Views)
    if (View.Name == Instance)
      return &View;
  return nullptr;
}

LogPosition GroupDispatcher::appliedBy(const std::string &Instance) const {
  for (const InstanceView &View : Views)
    if (View.Name == Instance)
      return View.Applied;
  return LogPosition();
}

const TargetEntry *
GroupDispatcher::findEntry(const std::string &Instance) const {
  const TargetConnections *Links = find(Instance);
  return Links ? &Links->entry() : nullptr;
}

bool GroupDispatcher::isUnreachable(const std::string &Instance) const {
  const TargetConnections *Links = find(Instance);
  return !Links || Links->isUnreachable();
}

std::vector<TargetEntry> GroupDispatcher::entries() const {
  std::vector<TargetEntry> Out;
  for (const auto &[Name, Links] : Targets)
    Out.push_back(Links->entry());
  return Out;
}

void GroupDispatcher::dropTarget(const std::string &Instance) {
  if (TargetConnections *Links = find(Instance))
    Links->close();
  Targets.erase(Instance);
  // A dropped target calls no hook.
  if (ProofTarget == Instance)
    ProofTarget.clear();
  Views.erase(std::remove_if(Views.begin(), Views.end(),
                             [&](const InstanceView &View) {
                               return View.Name == Instance;
                             }),
              Views.end());
}

void GroupDispatcher::setTargets(const std::vector<TargetEntry> &Entries) {
  bool IsFirstList = Targets.empty();
  std::map<std::string, const TargetEntry *> Listed;
  for (const TargetEntry &Entry : Entries)
    Listed[Entry.Instance] = &Entry;
  std::vector<std::string> Removed;
  for (const auto &[Name, Links] : Targets) {
    auto It = Listed.find(Name);
    bool Unchanged = It != Listed.end() &&
                     It->second->Incarnation == Links->entry().Incarnation &&
                     It->second->Address == Links->entry().Address;
    if (!Unchanged)
      Removed.push_back(Name);
  }
  for (const std::string &Name : Removed) {
    internal::Logger.info("target gone",
                          {{"group", Opts.Group}, {"target", Name}});
    dropTarget(Name);
    Tracker.forget(Name);
  }
  for (const TargetEntry &Entry : Entries)
    setTarget(Entry, IsFirstList);
  updatePrimary();
  IsInUse = true;
  scheduleDispatch();
}

void GroupDispatcher::setTarget(const TargetEntry &Entry, bool IsFirstList) {
  TargetConnections *Links = find(Entry.Instance);
  bool IsSame = Links && internal::isSameReport(Links->entry(), Entry);
  if (Links)
    Links->setEntry(Entry);
  else {
    addTarget(Entry);
    prepareSlowStart(Entry, IsFirstList);
  }
  if (IsSame)
    return;
  viewOf(Entry.Instance)->Leaving = Entry.Leaving;
  bool Accepts = !Entry.ClaimsPrimary ||
                 Guard->acceptsClaim(Entry.Instance, BootClock::now());
  if (Accepts)
    Tracker.recordPrimaryClaim(Entry.Instance, Entry.ClaimsPrimary);
  internal::Logger.info(
      "target known", {{"group", Opts.Group},
                       {"target", Entry.Instance},
                       {"address", Entry.Address},
                       {"domain", Entry.FailureDomain},
                       {"leaving", Entry.Leaving ? "yes" : "no"},
                       {"claims_primary", Entry.ClaimsPrimary ? "yes" : "no"}});
}

void GroupDispatcher::addTarget(const TargetEntry &Entry) {
  InstanceView View;
  View.Name = Entry.Instance;
  View.FailureDomain = Entry.FailureDomain;
  auto Region = Opts.Regions.find(Entry.FailureDomain);
  View.Region = Region == Opts.Regions.end() ? "" : Region->second;
  Views.push_back(View);
  TargetConnections::Options LinksOpts = Opts.Links;
  LinksOpts.Codec = Opts.Codec;
  LinksOpts.Group = Opts.Group;
  LinksOpts.Random = Opts.Random;
  auto Links =
      std::make_shared<TargetConnections>(Loop, LinksOpts, Entry, Callbacks);
  Targets[Entry.Instance] = Links;
}

void GroupDispatcher::setPaths(const std::map<std::string, TargetPath> &Paths,
                               bool NewIsVoter) {
  IsVoter = NewIsVoter;
  IsInUse = true;
  TimePoint Now = BootClock::now();
  for (const auto &[Name, Links] : Targets) {
    auto Path = Paths.find(Name);
    if (Path == Paths.end())
      continue;
    Links->setPath(Path->second);
    // A connection to a relay is opened when it is needed. Otherwise each VM
    // would have one for each target, although it uses few of them.
    if (Path->second.Direct && !Links->hasAny())
      Links->openIfAllowed(std::nullopt, {}, Now, Now);
  }
}

ConnectionCount GroupDispatcher::connectionCount() const {
  ConnectionCount Out;
  for (const auto &[Name, Links] : Targets) {
    Out.Open += Links->openCount();
    Out.Allowed += Links->path().Share;
  }
  return Out;
}

bool GroupDispatcher::isDirect(const std::string &Instance) const {
  const TargetConnections *Links = find(Instance);
  return Links && Links->path().Direct;
}

GroupDispatcher::Ticket GroupDispatcher::submit(LinkRequest Request) {
  Ticket Id = ++LastTicket;
  IsInUse = true;
  Request.SubmittedAt = BootClock::now();
  // The request is queued only after the attempt to grant it has failed, since
  // the hook that a grant calls may submit another request.
  if (tryGrant(Request, Request.SubmittedAt))
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
  if (!Request.RequiredTarget.empty()) {
    Names.push_back(Request.RequiredTarget);
    return Names;
  }
  const std::string &Primary = Tracker.primary();
  if (Request.NeedsPrimary || !Position) {
    if (!Primary.empty())
      Names.push_back(Primary);
    return Names;
  }
  ReadConstraints Constraints{.AcceptedAge = Request.AcceptedAge,
                              .MinPosition = *Position};
  Names = Router.plan(Constraints, Views, Primary, Now);
  bool HasOther =
      std::any_of(Names.begin(), Names.end(), [&](const std::string &Name) {
        return Name != Request.AvoidTarget;
      });
  if (HasOther)
    Names.erase(std::remove(Names.begin(), Names.end(), Request.AvoidTarget),
                Names.end());
  return Names;
}

bool GroupDispatcher::grantFrom(const std::string &Instance,
                                LinkRequest &Request,
                                std::optional<LogPosition> Position,
                                bool HasAlternatives) {
  TargetConnections *Links = find(Instance);
  if (!Links || isDrained(Instance, BootClock::now()))
    return false;
  bool IsPrimary = Instance == Tracker.primary();
  // A relay has a guard of its own, so only a direct path needs this VM's. A
  // relayed request says itself whether it needs the primary.
  bool UsesPrimary =
      Request.RequiredTarget.empty() ? IsPrimary : Request.NeedsPrimary;
  bool NeedsGuard = UsesPrimary && Links->path().Direct;
  if (NeedsGuard && !Guard->mayUse(Instance, BootClock::now()))
    return false;
  TimePoint Now = BootClock::now();
  if (!paceAllows(Instance, Request, HasAlternatives, Now))
    return false;
  // The last free direct connection to the primary is kept for requests that
  // need the primary, unless no other target may serve this one.
  // Connections of an account have no such order: which one is free says little
  // about the others.
  bool KeepLastFree = IsPrimary && !Request.NeedsPrimary && HasAlternatives &&
                      Links->path().Direct && Request.Account.empty();
  LinkGrant Grant;
  Grant.Link = Links->tryAcquire(KeepLastFree ? 1 : 0, Request.Account);
  if (!Grant.Link)
    return false;
  Millis MaxWait = toMillis(Request.GiveUpAt - BootClock::now());
  Grant.Link->setRelayOptions(
      Request.Priority, std::max(MaxWait, Millis::zero()), Request.Account);
  Grant.Instance = Instance;
  Grant.IsPrimary = IsPrimary;
  if (!IsPrimary)
    Grant.MinPosition = Position;
  if (!Request.PassedOver.empty())
    reportSlowStart(Request.PassedOver == Instance ? "delayed" : "diverted");
  Request.Granted(std::move(Grant));
  return true;
}

bool GroupDispatcher::tryGrant(LinkRequest &Request, TimePoint Now) {
  if (Now < Request.NotBefore)
    return false;
  std::optional<LogPosition> Position;
  if (!Request.NeedsPrimary && Request.RequiredTarget.empty()) {
    Position =
        Tracker.requiredPosition(Request.MustSeeBefore, Request.LastWrite);
    std::optional<LeadershipProof> Newest = Tracker.newest();
    if (!Newest || Now - Newest->RequestedAt > Opts.ProofRefreshAge)
      ProofWanted = true;
  }
  std::vector<std::string> Names = candidatesFor(Request, Position, Now);
  for (const std::string &Name : Names)
    if (grantFrom(Name, Request, Position, Names.size() > 1))
      return true;
  for (const std::string &Name : Names) {
    TargetConnections *Links = find(Name);
    if (Links &&
        Links->openIfAllowed(fallbackRelayFor(Name, Now), Request.Account,
                             Request.SubmittedAt, Now))
      break;
  }
  return false;
}

void GroupDispatcher::release(const std::shared_ptr<TargetLink> &Link) {
  TargetConnections *Links = find(Link->instance());
  if (!Links)
    return Link->close();
  Links->release(Link);
}

void GroupDispatcher::expectRelease(const std::shared_ptr<TargetLink> &Link) {
  TargetConnections *Links = find(Link->instance());
  if (!Links)
    return Link->failPending();
  Links->expectRelease(Link, BootClock::now());
}

void GroupDispatcher::scheduleDispatch() {
  if (DispatchScheduled)
    return;
  DispatchScheduled = true;
  boost::asio::post(Loop, [this, StillAlive = Alive] {
    if (!*StillAlive)
      return;
    DispatchScheduled = false;
    dispatchQueue();
  });
}

void GroupDispatcher::dispatchQueue() {
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
    if (tryGrant(Request, Now))
      continue;
    PriorityOf[Key.second] = Key.first;
    Queue.emplace(Key, std::move(Request));
  }
}

void GroupDispatcher::refuseExpired(TimePoint Now) {
  std::vector<LinkRequest> Expired;
  for (auto It = Queue.begin(); It != Queue.end();) {
    if (Now < It->second.GiveUpAt && !isUnservable(It->second, Now)) {
      ++It;
      continue;
    }
    PriorityOf.erase(It->first.second);
    Expired.push_back(std::move(It->second));
    It = Queue.erase(It);
  }
  for (LinkRequest &Request : Expired) {
    if (!Request.PassedOver.empty())
      reportSlowStart("expired");
    Request.Refused(Error{.Code = ErrorCode::Overloaded,
                          .Message = reasonToRefuse(Request, Now)});
  }
}

std::string GroupDispatcher::reasonToRefuse(const LinkRequest &Request,
                                            TimePoint Now) const {
  if (isUnservable(Request, Now))
    return "the target leaves and receives no new requests";
  if (Tracker.primary().empty() && Request.NeedsPrimary)
    return "no primary is known";
  if (!Request.PassedOver.empty())
    return "no connection became free in time, and " + Request.PassedOver +
           " is in slow start";
  return "no connection became free in time";
}

bool GroupDispatcher::isDrained(const std::string &Instance,
                                TimePoint Now) const {
  const TargetConnections *Links = find(Instance);
  return Links && !Bound.mayServe(Links->entry(), Now);
}

bool GroupDispatcher::isUnservable(const LinkRequest &Request,
                                   TimePoint Now) const {
  if (!Request.RequiredTarget.empty())
    return isDrained(Request.RequiredTarget, Now);
  return Request.NeedsPrimary && isDrained(Tracker.primary(), Now);
}

bool GroupDispatcher::findUse() const {
  if (IsVoter || ProofWanted || !ProofTarget.empty() || !Queue.empty() ||
      !Confirmations.empty())
    return true;
  return std::any_of(Targets.begin(), Targets.end(),
                     [](const auto &Each) { return Each.second->isInUse(); });
}

void GroupDispatcher::sweep(TimePoint Now) {
  if (!IsInUse)
    return;
  refuseExpired(Now);
  std::vector<std::shared_ptr<TargetConnections>> Current;
  for (const auto &[Name, Links] : Targets)
    Current.push_back(Links);
  for (const std::shared_ptr<TargetConnections> &Links : Current)
    Links->sweep(Now);
  searchPrimary(Now);
  refreshLease(Now);
  settleConfirmations(Now);
  refreshProof(Now);
  if (!Queue.empty())
    dispatchQueue();
  IsInUse = findUse();
}

} // namespace cicadawind
