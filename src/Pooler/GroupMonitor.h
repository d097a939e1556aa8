#ifndef CICADAWIND_POOLER_GROUPMONITOR_H
#define CICADAWIND_POOLER_GROUPMONITOR_H

#include "Async/AsyncSignal.h"
#include "Groups/GroupController.h"
#include "Groups/ReportSchedule.h"
#include "Observability/Log.h"
#include "ReleaseNotes/ServiceConfig.h"
#include "Wire/PrimaryHint.h"

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
/// \brief Connects one database's GroupController to the database's instances
/// and to the platform's store.
///
/// Keeps one long-polled report request open for each instance and carries out
/// the controller's commands. Runs on the loop's thread. The coroutines that it
/// starts keep it alive until they have seen stop().
class GroupMonitor : public std::enable_shared_from_this<GroupMonitor> {
public:
  struct Options {
    GroupController::Options Control;
    ReportSchedule::Options Schedule = {};
    /// Failure domain and region of this pooler's VM.
    std::string FailureDomain;
    std::string Region;
    /// A report request times out this long after its long-poll time.
    Duration ReportTimeoutMargin = std::chrono::milliseconds(250);
    /// Longest wait of waitForLease. The wait is needed at the first use of the
    /// primary after a time without use, since no lease is kept then.
    Duration MaxLeaseWait = std::chrono::milliseconds(200);
    /// Interval at which the controller's tick function is called.
    Duration TickInterval = std::chrono::milliseconds(25);
    Duration StoreTimeout = std::chrono::milliseconds(700);
    Duration ControlTimeout = std::chrono::milliseconds(300);
  };
  /// Queries other poolers for their term record of \p Database; empty when
  /// none of them has one.
  using PeerRecordHook =
      std::function<boost::asio::awaitable<std::optional<TermRecord>>(
          std::string Database)>;

  GroupMonitor(boost::asio::io_context &Loop, Options Opts,
               DatabaseGroup &Group, ObjectStore &Store, Metrics &Meter,
               DatabaseConfig Config);

  /// Starts the loops that poll the instances and drive the controller.
  void start();
  /// Ends all loops and wakes all coroutines that wait here.
  void stop();

  /// Applies a changed configuration of the database.
  void reconfigure(const DatabaseConfig &NewConfig);
  /// Sets the function that reads the term record from peers while the store is
  /// unavailable.
  void setPeerRecordHook(PeerRecordHook Hook) {
    QueryPeerRecord = std::move(Hook);
  }

  const DatabaseConfig &config() const { return Config; }
  GroupController &control() { return Control; }
  const GroupController &control() const { return Control; }
  /// Returns the current term and its primary.
  PrimaryHint hint() const;

  bool leaseValid() const;
  /// Returns whether the primary counts as in use, which it also does while it
  /// is in doubt or a planned switchover pauses writes. Only then does the
  /// monitor request frequent reports, that is, poll instances continuously as
  /// ReportSchedule describes. The lease depends on these reports.
  bool isBusy() const { return Schedule.isBusy(BootClock::now()); }
  /// Returns whether writes have to wait for a planned switchover.
  bool writesPaused() const;

  /// Records a use of the primary and waits until the lease is valid, but no
  /// longer than Options::MaxLeaseWait and not beyond \p Deadline.
  boost::asio::awaitable<void> waitForLease(TimePoint Deadline);

  /// Records that a reply of \p Instance contained data up to \p Applied.
  void recordApplied(const std::string &Instance, LogPosition Applied);

  /// Waits until \p Position is replicated to a majority under a valid lease.
  ///
  /// Returns PositionLost if a change of primary discarded the position, and
  /// NotConfirmed if \p Deadline passes or the monitor is stopped first.
  boost::asio::awaitable<Status> confirm(LogPosition Position,
                                         TimePoint Deadline);

  /// Returns the age of data that includes \p Position; empty if unknown.
  std::optional<Duration> ageOf(LogPosition Position) const;

  /// Requests reports from all instances at once, so that the age of their data
  /// is known to within one round trip. Returns when the request to the primary
  /// has ended. While another call runs, or if no primary is known, sends no
  /// requests and only waits for the next change, at most
  /// ReportSchedule::Options::BusyPollTimeout.
  boost::asio::awaitable<void> refreshReports();

  /// Waits until a report or the term record has changed, at most \p Timeout.
  boost::asio::awaitable<void> waitForChange(Duration Timeout);

private:
  boost::asio::awaitable<void> reportLoop(std::string Instance,
                                          std::uint64_t StartGeneration);
  boost::asio::awaitable<void> frequentReportLoop(std::string Instance);
  boost::asio::awaitable<bool> requestReport(std::string Instance,
                                             LogIndex After, Duration Wait);
  void requestFrequentReports();
  void startFrequentReportLoops();
  void measureWriteGap(TimePoint Now);
  bool isPrimaryInDoubt() const;
  bool needsFrequentReports(const std::string &Instance, TimePoint Now) const;
  bool hasRegionalMajority(TimePoint Now) const;
  boost::asio::awaitable<void> tickLoop();
  std::vector<std::string> memberNames() const;
  std::string addressOf(const std::string &Instance) const;
  void carryOut(GroupController::Commands Commands);
  boost::asio::awaitable<void> carryOutOne(GroupCommand Command);
  boost::asio::awaitable<void> writeTermRecord(WriteTermRecord Command);
  boost::asio::awaitable<void> readTermRecord();
  boost::asio::awaitable<void> fence(FenceInstance Command);
  boost::asio::awaitable<void> promote(PromoteInstance Command);
  boost::asio::awaitable<void> follow(FollowPrimary Command);
  void handleReport(const std::string &Instance, InstanceReport Report,
                    TimePoint Sent);

  boost::asio::io_context &Loop;
  Options Opts;
  DatabaseGroup &Group;
  ObjectStore &Store;
  Metrics &Meter;
  DatabaseConfig Config;
  GroupController Control;
  Log Logger{"group"};
  ReportSchedule Schedule;
  /// Instances for which a report loop of the current generation was started.
  std::set<std::string> Watched;
  /// Instances whose current report request was sent while they did not need
  /// frequent reports. Its long poll may take seconds.
  std::set<std::string> InSlowPoll;
  /// Instances of InSlowPoll that frequentReportLoop polls in addition.
  std::set<std::string> InFrequentLoop;
  /// When the latest report of each instance was received.
  std::map<std::string, TimePoint> LastReport;
  /// Start of the time in which the primary was in use and no lease was valid.
  std::optional<TimePoint> LeaseMissingSince;
  PeerRecordHook QueryPeerRecord;
  AsyncSignal Changed;
  bool Refreshing = false;
  bool Stopped = false;
  /// Incremented when a target is added or its address changes. A report loop
  /// that was started with an earlier generation ends.
  std::uint64_t Generation = 0;
};

} // namespace cicadawind

#endif
