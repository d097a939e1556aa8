// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Links/TargetConnections.h"

#include "Core/Random.h"
#include "Observability/Log.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace cicadawind {
namespace internal {

static const Log Logger("connections");

static std::uint64_t hashOf(const std::string &Text) {
  return std::hash<std::string>()(Text);
}

/// Backoff after a connection could not be opened: this step for each failure
/// in a row, up to MaxOpenBackoffSteps steps.
constexpr Duration OpenBackoffStep = std::chrono::milliseconds(50);
constexpr unsigned MaxOpenBackoffSteps = 4;
/// Time for which this VM's share is reduced after a connection was refused
/// with TooManyConnections.
constexpr Duration ReducedShareDuration = std::chrono::milliseconds(1500);

} // namespace internal

TargetConnections::TargetConnections(boost::asio::io_context &Loop,
                                     Options NewOpts, TargetEntry NewEntry,
                                     std::shared_ptr<const Events> NewCallbacks)
    : Loop(Loop), Opts(std::move(NewOpts)), Entry(std::move(NewEntry)),
      Callbacks(std::move(NewCallbacks)), Pool(Opts.Accounts) {
  assert(Opts.Codec && Callbacks &&
         "target connections need a codec and callbacks");
}

std::size_t TargetConnections::inUse() const {
  return AllLinks.size() - FreeLinks.size() - OpeningCount;
}

std::shared_ptr<TargetLink> TargetConnections::popFreeLink() {
  while (!FreeLinks.empty()) {
    std::shared_ptr<TargetLink> Link = std::move(FreeLinks.back().Link);
    FreeLinks.pop_back();
    if (Link->isOpen())
      return Link;
  }
  return nullptr;
}

bool TargetConnections::suits(const TargetLink &Link,
                              const std::string &Account,
                              const VmEntry *Relay) {
  if (!Link.isOpen())
    return false;
  if (!Link.isRelayed())
    return Link.account() == Account;
  return !Relay || Link.relay() == Relay->Vm;
}

const VmEntry *
TargetConnections::preferredRelay(const std::string &Account) const {
  if (Path.Direct || Path.Relays.empty())
    return nullptr;
  std::uint64_t Seed =
      hashCombine(internal::hashOf(Account), internal::hashOf(Entry.Instance));
  using Ranked = std::pair<std::uint64_t, const VmEntry *>;
  std::vector<Ranked> Order;
  for (const VmEntry &Relay : Path.Relays)
    Order.emplace_back(hashCombine(Seed, internal::hashOf(Relay.Vm)), &Relay);
  std::sort(Order.begin(), Order.end());
  return Order[NextRelay % Order.size()].second;
}

bool TargetConnections::mayUseAnyRelay(const VmEntry &Preferred,
                                       TimePoint Now) const {
  if (mayOpen(Now))
    return false;
  // A connection that is being opened is worth the wait.
  return std::none_of(AllLinks.begin(), AllLinks.end(),
                      [&](const std::weak_ptr<TargetLink> &Weak) {
                        std::shared_ptr<TargetLink> Link = Weak.lock();
                        return Link && Link->isOpening() &&
                               Link->relay() == Preferred.Vm;
                      });
}

std::shared_ptr<TargetLink>
TargetConnections::tryAcquire(std::size_t MinFree, const std::string &Account) {
  ServesAccounts |= !Account.empty();
  if (FreeLinks.size() <= MinFree || !Concurrency.allows(inUse()))
    return nullptr;
  if (!ServesAccounts)
    return popFreeLink();
  const VmEntry *Relay = preferredRelay(Account);
  auto FindLast = [&] {
    return std::find_if(FreeLinks.rbegin(), FreeLinks.rend(),
                        [&](const FreeLink &Each) {
                          return suits(*Each.Link, Account, Relay);
                        });
  };
  auto It = FindLast();
  if (It == FreeLinks.rend() && Relay &&
      mayUseAnyRelay(*Relay, BootClock::now())) {
    Relay = nullptr;
    It = FindLast();
  }
  if (It == FreeLinks.rend())
    return nullptr;
  std::shared_ptr<TargetLink> Link = std::move(It->Link);
  FreeLinks.erase(std::next(It).base());
  return Link;
}

void TargetConnections::release(const std::shared_ptr<TargetLink> &Link) {
  // From now on the session that acquires the link applies the timeouts.
  ControlLinks.erase(Link.get());
  ExpectedLinks.erase(Link.get());
  if (!Link->isOpen() || !Link->isIdle() || !isOwn(Link))
    return Link->close();
  if (sendNextControlRequest(Link))
    return;
  FreeLinks.push_back({.Link = Link, .Since = BootClock::now()});
  Callbacks->OnAvailable();
}

bool TargetConnections::isOwn(const std::shared_ptr<TargetLink> &Link) const {
  return std::any_of(AllLinks.begin(), AllLinks.end(),
                     [&](const std::weak_ptr<TargetLink> &Each) {
                       return Each.lock() == Link;
                     });
}

void TargetConnections::setPath(const TargetPath &NewPath) {
  // A change of the number of VMs alone does not change the path.
  Path.Vms = NewPath.Vms;
  Pace.setUsage(usage());
  if (!SlowStartCause.empty())
    beginSlowStart(std::exchange(SlowStartCause, {}), BootClock::now());
  if (NewPath == Path)
    return;
  bool DirectChanged = NewPath.Direct != Path.Direct;
  Path = NewPath;
  NextRelay = 0;
  if (DirectChanged)
    internal::Logger.info("way to target",
                          {{"group", Opts.Group},
                           {"target", Entry.Instance},
                           {"direct", Path.Direct ? "yes" : "no"},
                           {"share", std::to_string(Path.Share)}});
  Callbacks->OnAvailable();
}

bool TargetConnections::isOnPath(const TargetLink &Link) const {
  if (!Link.isRelayed())
    return Path.Direct;
  // The fallback relay of a direct path is not listed in the path.
  if (Path.Direct)
    return UnreachableSince.has_value();
  return std::any_of(Path.Relays.begin(), Path.Relays.end(),
                     [&](const VmEntry &Vm) { return Vm.Vm == Link.relay(); });
}

unsigned TargetConnections::connectionLimit(TimePoint Now) const {
  return Now < ReducedShareUntil ? std::min(Path.Share, ReducedShare)
                                 : Path.Share;
}

bool TargetConnections::mayOpen(TimePoint Now) const {
  if (AllLinks.size() >= connectionLimit(Now) || Now < NextOpen ||
      !Concurrency.allows(AllLinks.size()) ||
      !Pace.allowsWithoutAlternative(AllLinks.size(), Now))
    return false;
  // Opening a connection occupies a slot of the target for longer than a
  // statement does.
  return Path.Direct ? OpeningCount == 0
                     : OpeningCount < Opts.MaxRelayedOpenings;
}

AccountPool::State TargetConnections::poolState(const std::string &Account,
                                                TimePoint Now) const {
  AccountPool::State Out;
  Out.Free = FreeLinks.size();
  Out.Limit = connectionLimit(Now);
  for (const std::weak_ptr<TargetLink> &Weak : AllLinks) {
    std::shared_ptr<TargetLink> Link = Weak.lock();
    if (!Link || Link->isClosed())
      continue;
    bool IsOfAccount = Link->isRelayed() || Link->account() == Account;
    ++Out.Total;
    Out.Opening += Link->isOpening();
    Out.OfAccount += IsOfAccount;
    Out.OpeningOfAccount += IsOfAccount && Link->isOpening();
  }
  return Out;
}

bool TargetConnections::openForAccount(const std::string &Account,
                                       Duration Waited, TimePoint Now) {
  std::size_t Used = inUse() + OpeningCount;
  if (Now < NextOpen || !Concurrency.allows(Used) ||
      !Pace.allowsWithoutAlternative(Used, Now))
    return false;
  PoolStep Step = Pool.nextStep(poolState(Account, Now), Waited);
  if (Step == PoolStep::Wait)
    return false;
  if (Step == PoolStep::Replace) {
    FreeLinks.front().Link->close();
    removeClosed();
  }
  open(nullptr, Account);
  return true;
}

bool TargetConnections::openToRelay(const std::string &Account) {
  // Connections that are opened at the same time go to different relays,
  // because one of the relays may not respond.
  if (!ServesAccounts) {
    open(&Path.Relays[(NextRelay + OpeningCount) % Path.Relays.size()], {});
    return true;
  }
  const VmEntry *Relay = preferredRelay(Account);
  bool IsOpening = std::any_of(AllLinks.begin(), AllLinks.end(),
                               [&](const std::weak_ptr<TargetLink> &Weak) {
                                 std::shared_ptr<TargetLink> Link = Weak.lock();
                                 return Link && Link->isOpening() &&
                                        Link->relay() == Relay->Vm;
                               });
  if (IsOpening)
    return false;
  open(Relay, {});
  return true;
}

bool TargetConnections::openIfAllowed(
    const std::optional<VmEntry> &FallbackRelay, const std::string &Account,
    TimePoint WaitsSince, TimePoint Now) {
  bool Direct =
      !UnreachableSince || Now - LastDirectFailure > Opts.DirectRetryBackoff;
  bool UsesFallback = !Direct && FallbackRelay;
  if (ServesAccounts && Path.Direct && !UsesFallback)
    return openForAccount(Account, Now - WaitsSince, Now);
  if (!mayOpen(Now))
    return false;
  if (!Path.Direct && !Path.Relays.empty())
    return openToRelay(Account);
  open(UsesFallback ? &*FallbackRelay : nullptr, Account);
  return true;
}

void TargetConnections::open(const VmEntry *Relay, const std::string &Account) {
  TargetLink::Options LinkOpts;
  LinkOpts.Codec = Opts.Codec;
  LinkOpts.Group = Opts.Group;
  LinkOpts.Instance = Entry.Instance;
  LinkOpts.Address = Entry.Address;
  LinkOpts.Stream = Opts.Stream;
  if (!Relay)
    LinkOpts.Account = Account;
  if (Relay) {
    // A proxy enters the address of its RelayService in this field.
    LinkOpts.Address = Relay->PoolerPeer;
    LinkOpts.Relay = Relay->Vm;
  }
  auto Link = std::make_shared<TargetLink>(Loop, LinkOpts);
  ++OpeningCount;
  AllLinks.push_back(Link);
  Link->open([Weak = weak_from_this(), Link](const std::optional<Error> &E) {
    if (std::shared_ptr<TargetConnections> Self = Weak.lock())
      Self->onOpened(Link, E);
    else
      Link->close();
  });
}

void TargetConnections::onOpened(const std::shared_ptr<TargetLink> &Link,
                                 const std::optional<Error> &Failure) {
  if (OpeningCount > 0)
    --OpeningCount;
  if (Failure) {
    removeClosed();
    return onOpenFailed(*Link, *Failure, BootClock::now());
  }
  if (Link->isRelayed()) {
    if (FailuresInRow > 0)
      internal::Logger.info("target reached through a peer",
                            {{"group", Opts.Group},
                             {"target", Entry.Instance},
                             {"peer", Link->relay()}});
    FailuresInRow = 0;
    return release(Link);
  }
  if (UnreachableSince)
    beginSlowStart("reached again", BootClock::now());
  UnreachableSince.reset();
  FailuresInRow = 0;
  Callbacks->OnContact(Entry.Instance);
  Link->onFailed([Weak = weak_from_this()] {
    if (std::shared_ptr<TargetConnections> Self = Weak.lock())
      Self->Callbacks->OnFailure(Self->Entry.Instance, BootClock::now());
  });
  release(Link);
}

void TargetConnections::onOpenFailed(const TargetLink &Link,
                                     const Error &Failure, TimePoint Now) {
  // Only the first failures in a row are logged.
  if (FailuresInRow < internal::MaxOpenBackoffSteps)
    internal::Logger.info("connection not opened",
                          {{"group", Opts.Group},
                           {"target", Entry.Instance},
                           {"address", Link.address()},
                           {"through_peer", Link.relay()},
                           {"code", std::string(toString(Failure.Code))},
                           {"why", Failure.Message}});
  FailuresInRow = std::min(FailuresInRow + 1, internal::MaxOpenBackoffSteps);
  NextOpen = Now + FailuresInRow * internal::OpenBackoffStep;
  if (Failure.Code == ErrorCode::TooManyConnections) {
    ReducedShare =
        std::max<unsigned>(1, static_cast<unsigned>(AllLinks.size()));
    ReducedShareUntil = Now + internal::ReducedShareDuration;
    return;
  }
  if (Link.isRelayed())
    return Callbacks->OnRelayFailed(Link.relay());
  markUnreachable(Now);
  Callbacks->OnFailure(Entry.Instance, Now);
}

void TargetConnections::markUnreachable(TimePoint Now) {
  UnreachableSince = UnreachableSince.value_or(Now);
  LastDirectFailure = Now;
  Pace.recordFailed(Now);
}

SlowStart::Usage TargetConnections::usage() const {
  return {.Slots = Entry.Slots, .Vms = Path.Vms};
}

void TargetConnections::beginSlowStart(const std::string &Cause,
                                       TimePoint Now) {
  if (!Opts.UsesSlowStart)
    return;
  Pace.begin(usage(), Entry.WarmUpHint, toUnit(Opts.Random()), Now);
  SlowSince = Now;
  internal::Logger.info("slow start begins",
                        {{"group", Opts.Group},
                         {"target", Entry.Instance},
                         {"why", Cause},
                         {"vms", std::to_string(Path.Vms)},
                         {"pace", std::to_string(Pace.pace())}});
}

void TargetConnections::logSlowStartEnd(TimePoint Now) {
  if (!SlowSince || Pace.isActive())
    return;
  bool Settled = Pace.state() == SlowStart::State::Settled;
  Millis Lasted = toMillis(Now - *std::exchange(SlowSince, {}));
  internal::Logger.info(
      "slow start ends",
      {{"group", Opts.Group},
       {"target", Entry.Instance},
       {"why", Settled ? "replies are quick" : "time is over"},
       {"took_ms", std::to_string(Lasted.count())},
       {"pace", std::to_string(Pace.pace())}});
}

bool TargetConnections::paceAllows(bool HasAlternatives, TimePoint SubmittedAt,
                                   TimePoint GiveUpAt, TimePoint Now) const {
  bool MustRun = !HasAlternatives ||
                 Pace.isOverdue(Now - SubmittedAt, GiveUpAt - SubmittedAt);
  return MustRun ? Pace.allowsWithoutAlternative(inUse(), Now)
                 : Pace.allows(inUse(), Now);
}

void TargetConnections::noteBusy() {
  Concurrency.onRefused(inUse());
  Pace.recordRefused(BootClock::now());
}

void TargetConnections::noteReplyTime(Duration Taken,
                                      std::optional<Duration> PeerTime,
                                      TimePoint Now) {
  Pace.recordServed(Taken, PeerTime, Now);
  logSlowStartEnd(Now);
}

void TargetConnections::recordTimeout(TimePoint Now) {
  Pace.recordFailed(Now);
  if (Path.Direct)
    markUnreachable(Now);
  else
    ++NextRelay;
  // Free connections on the same path probably do not respond either.
  close();
}

void TargetConnections::request(const std::string &Key, ControlRequest Request,
                                ControlReplyHook Hook, TimePoint Now) {
  for (PendingControlRequest &Each : ControlQueue)
    if (Each.Key == Key) {
      Each.Hooks.push_back(std::move(Hook));
      return;
    }
  PendingControlRequest Next;
  Next.Key = Key;
  Next.Send = std::move(Request);
  Next.Hooks.push_back(std::move(Hook));
  Next.GiveUpAt = Now + Opts.ControlRequestTimeout;
  ControlQueue.push_back(std::move(Next));
  if (std::shared_ptr<TargetLink> Link = popFreeLink())
    sendNextControlRequest(Link);
}

bool TargetConnections::sendNextControlRequest(
    const std::shared_ptr<TargetLink> &Link) {
  if (ControlQueue.empty())
    return false;
  PendingControlRequest First = std::move(ControlQueue.front());
  ControlQueue.pop_front();
  ControlLinks[Link.get()] = Link;
  First.Send(*Link, [Weak = weak_from_this(), Link,
                     Hooks = std::move(First.Hooks)](const TargetReply *Reply) {
    std::shared_ptr<TargetConnections> Self = Weak.lock();
    if (!Self)
      return;
    if (Reply) {
      // An error may come from the relay and says nothing about the target.
      if (!Link->isRelayed() || Reply->Receipt)
        Self->Callbacks->OnContact(Self->Entry.Instance);
      Self->release(Link);
    }
    for (const ControlReplyHook &Hook : Hooks)
      Hook(Reply);
  });
  return true;
}

void TargetConnections::expireControlRequests(TimePoint Now) {
  std::vector<ControlReplyHook> ExpiredHooks;
  while (!ControlQueue.empty() && Now >= ControlQueue.front().GiveUpAt) {
    std::vector<ControlReplyHook> &Hooks = ControlQueue.front().Hooks;
    std::move(Hooks.begin(), Hooks.end(), std::back_inserter(ExpiredHooks));
    ControlQueue.pop_front();
  }
  for (const ControlReplyHook &Hook : ExpiredHooks)
    Hook(nullptr);
}

void TargetConnections::checkWaitingLinks(TimePoint Now) {
  std::vector<std::shared_ptr<TargetLink>> Overdue;
  for (const std::weak_ptr<TargetLink> &Weak : AllLinks) {
    std::shared_ptr<TargetLink> Link = Weak.lock();
    std::optional<TimePoint> Since;
    if (Link)
      Since = Link->waitingSince();
    if (!Since)
      continue;
    if (Now - *Since > Opts.FailureReportDelay && !Link->isRelayed())
      Callbacks->OnFailure(Entry.Instance, *Since);
    if (!Link->isOpen() && Now - *Since > Opts.OpenTimeout)
      Overdue.push_back(Link);
  }
  for (const std::shared_ptr<TargetLink> &Link : Overdue)
    Link->failPending();
}

void TargetConnections::endTimedOutControlRequests(TimePoint Now) {
  std::vector<std::shared_ptr<TargetLink>> TimedOut;
  for (auto It = ControlLinks.begin(); It != ControlLinks.end();) {
    std::shared_ptr<TargetLink> Link = It->second.lock();
    std::optional<TimePoint> Since;
    if (Link && Link->isOpen())
      Since = Link->waitingSince();
    if (Since && Now - *Since <= Opts.ControlRequestTimeout) {
      ++It;
      continue;
    }
    if (Since)
      TimedOut.push_back(Link);
    It = ControlLinks.erase(It);
  }
  for (const std::shared_ptr<TargetLink> &Link : TimedOut) {
    internal::Logger.info("target is silent",
                          {{"group", Opts.Group}, {"target", Entry.Instance}});
    if (Link->isRelayed())
      Callbacks->OnRelayFailed(Link->relay());
    else
      Callbacks->OnTimeout(Entry.Instance);
    Link->failPending();
  }
}

void TargetConnections::expectRelease(const std::shared_ptr<TargetLink> &Link,
                                      TimePoint Now) {
  ExpectedLinks[Link.get()] = {.Link = Link, .Since = Now};
}

void TargetConnections::endUnreleased(TimePoint Now) {
  std::vector<std::shared_ptr<TargetLink>> Unreleased;
  for (auto It = ExpectedLinks.begin(); It != ExpectedLinks.end();) {
    std::shared_ptr<TargetLink> Link = It->second.Link.lock();
    bool IsExpected = Link && Link->isOpen();
    if (IsExpected && Now - It->second.Since <= Opts.ControlRequestTimeout) {
      ++It;
      continue;
    }
    if (IsExpected)
      Unreleased.push_back(Link);
    It = ExpectedLinks.erase(It);
  }
  for (const std::shared_ptr<TargetLink> &Link : Unreleased) {
    internal::Logger.info("connection closed; a rollback was not answered",
                          {{"group", Opts.Group},
                           {"target", Entry.Instance},
                           {"through_peer", Link->relay()}});
    // One lost reply says nothing about the target.
    Link->onFailed(nullptr);
    Link->failPending();
  }
}

void TargetConnections::removeClosed() {
  AllLinks.erase(std::remove_if(AllLinks.begin(), AllLinks.end(),
                                [](const std::weak_ptr<TargetLink> &Weak) {
                                  auto Link = Weak.lock();
                                  return !Link || Link->isClosed();
                                }),
                 AllLinks.end());
  FreeLinks.erase(
      std::remove_if(FreeLinks.begin(), FreeLinks.end(),
                     [](const FreeLink &Each) { return !Each.Link->isOpen(); }),
      FreeLinks.end());
}

void TargetConnections::closeUnused(TimePoint Now) {
  auto IsOffPath = [&](const FreeLink &Each) { return !isOnPath(*Each.Link); };
  for (const FreeLink &Each : FreeLinks)
    if (IsOffPath(Each))
      Each.Link->close();
  Duration Limit = Path.Direct ? Opts.IdleTimeout : Opts.RelayedIdleTimeout;
  if (ServesAccounts && !Path.Standby)
    Limit = Opts.AccountIdleTimeout;
  removeClosed();
  while (ServesAccounts && AllLinks.size() > Path.Share && !FreeLinks.empty()) {
    FreeLinks.front().Link->close();
    removeClosed();
  }
  // The first link in the list was used least recently.
  while (AllLinks.size() > 1 && !FreeLinks.empty() &&
         Now - FreeLinks.front().Since > Limit) {
    FreeLinks.front().Link->close();
    removeClosed();
  }
}

void TargetConnections::sweep(TimePoint Now) {
  std::shared_ptr<TargetConnections> KeepAlive = shared_from_this();
  expireControlRequests(Now);
  checkWaitingLinks(Now);
  endTimedOutControlRequests(Now);
  endUnreleased(Now);
  removeClosed();
  closeUnused(Now);
  Pace.expire(Now);
  logSlowStartEnd(Now);
}

void TargetConnections::close() {
  for (const FreeLink &Each : std::exchange(FreeLinks, {}))
    Each.Link->close();
}

} // namespace cicadawind
