#ifndef CICADAWIND_POOLER_GROUPMONITOR_H
#define CICADAWIND_POOLER_GROUPMONITOR_H

#include "Async/AsyncSignal.h"
#include "Core/Random.h"
#include "Observability/Log.h"
#include "Pooler/FreshnessMarks.h"
#include "ReleaseNotes/ServiceConfig.h"
#include "Terms/LeaseTracker.h"
#include "Terms/PromotionMachine.h"
#include "Terms/PromotionTrigger.h"
#include "Wire/GroupView.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cicadawind {

class DatabaseGroup;
class Metrics;
class ObjectStore;

/// \class GroupMonitor
/// \brief Watches one database's instances, keeps its lease, and replaces its
/// primary.
///
/// Holds one long-polled report per instance. From these follow the lease and
/// confirmed index (LeaseTracker), the age of replicas' data
/// (FreshnessMarks), and the decision to promote (PromotionTrigger, carried
/// out by PromotionMachine). Reconciles instances with the term record: opens
/// the named primary, makes the others follow it. Runs on the loop's thread;
/// stop() ends its loops, after which it may be released.
class GroupMonitor : public std::enable_shared_from_this<GroupMonitor> {
public:
  struct Options {
    std::string Vm;
    Duration LeaseLength = std::chrono::milliseconds(400);
    /// Long-poll time of a report.
    Duration ReportWait = std::chrono::milliseconds(100);
    Duration ReportLimit = std::chrono::milliseconds(350);
    Duration Tick = std::chrono::milliseconds(25);
    Duration StoreLimit = std::chrono::milliseconds(700);
    Duration ControlLimit = std::chrono::milliseconds(300);
    PromotionTrigger::Options Trigger = {};
    std::shared_ptr<const StateChart> PromotionChart;
    RandomSource Random;
  };
  /// Asks other poolers for a database's term record.
  using PeerRecordHook =
      std::function<boost::asio::awaitable<std::optional<TermRecord>>(
          std::string Database)>;

  GroupMonitor(boost::asio::io_context &Loop, Options Opts,
               DatabaseGroup &Group, ObjectStore &Store, Metrics &Meter,
               DatabaseConfig Config);

  void start();
  void stop();

  /// Takes in a changed configuration of the database.
  void reconfigure(const DatabaseConfig &NewConfig);
  void setPeerRecordHook(PeerRecordHook Hook) { PeerRecord = std::move(Hook); }

  const DatabaseConfig &config() const { return Config; }
  const std::optional<TermRecord> &record() const { return Record; }
  GroupView view() const;

  /// Whether \p Instance is the open primary.
  bool isPrimary(const std::string &Instance) const;

  /// Whether answers of the primary may leave now.
  bool leaseValid() const;
  Duration leaseAge() const;
  Duration leaseLength() const { return Opts.LeaseLength; }

  /// Waits until a majority holds \p Position and the lease is valid, or the
  /// position's fate under a later term is known. Position written in the
  /// current or an earlier term.
  boost::asio::awaitable<Status> confirm(LogPosition Position,
                                         TimePoint Deadline);

  /// Latest report of \p Instance.
  std::optional<InstanceReport> reportOf(const std::string &Instance) const;

  /// Age of data that includes \p Position; empty when unknown.
  std::optional<Duration> ageOf(LogPosition Position) const;

  /// Waits for a change of reports or record, or \p Limit.
  boost::asio::awaitable<void> waitForChange(Duration Limit);

  /// Moves the primary away from \p Instance if it is there and a successor
  /// can be had.
  void requestHandover(const std::string &Instance);

  /// Whether writes have to wait for a hand-over: replicas catch up with a
  /// primary that takes no new writes.
  bool writesPaused() const;

private:
  boost::asio::awaitable<void> watchInstance(std::string Instance,
                                             std::uint64_t Generation);
  boost::asio::awaitable<void> tickLoop();
  void tick();
  void takeReport(const InstanceReport &Report, TimePoint Sent);
  void addMark(const InstanceReport &Report, TimePoint Sent);
  boost::asio::awaitable<void> refreshRecord();
  void adopt(TermRecord NewRecord, std::uint64_t NewVersion);
  std::vector<std::string> memberNames() const;
  std::string addressOf(const std::string &Instance) const;
  bool handoverDue() const;
  void startPromotion(const char *Why);
  void carryOut(PromotionMachine::Commands Commands);
  void finishPromotion();
  boost::asio::awaitable<void> writeRecord(WriteTermRecord Command);
  boost::asio::awaitable<void> readRecord();
  boost::asio::awaitable<void> fence(FenceInstance Command);
  boost::asio::awaitable<void> promote(PromoteInstance Command);
  void reconcile();
  void reconcileInstance(const std::string &Instance);
  boost::asio::awaitable<void> control(std::string Instance, bool Promote);
  PositionFate fateOf(LogPosition Position) const;

  boost::asio::io_context &Loop;
  Options Opts;
  DatabaseGroup &Group;
  ObjectStore &Store;
  Metrics &Meter;
  DatabaseConfig Config;
  Log Logger{"group"};
  std::optional<TermRecord> Record;
  std::uint64_t Version = 0;
  bool RecordFromStore = false;
  TimePoint RecordSince;
  std::optional<LeaseTracker> Lease;
  FreshnessMarks Marks{FreshnessMarks::Options{}};
  PromotionTrigger Trigger;
  std::optional<PromotionMachine> Promotion;
  TimePoint PromotionSince;
  std::map<std::string, InstanceReport> Reports;
  std::set<std::string> ControlBusy;
  std::set<std::string> Watched;
  std::string HandoverFrom;
  PeerRecordHook PeerRecord;
  AsyncSignal Changed;
  bool Refreshing = false;
  TimePoint LastRefresh;
  bool Stopped = false;
  std::uint64_t Generation = 0;
};

} // namespace cicadawind

#endif
