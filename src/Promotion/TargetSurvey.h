#ifndef CICADAWIND_PROMOTION_TARGETSURVEY_H
#define CICADAWIND_PROMOTION_TARGETSURVEY_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"
#include "Statements/TargetStatus.h"
#include "Succession/SuccessorCandidate.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadawind {

class GroupDispatcher;
class ProxyService;

/// Statuses of the targets of a group, by instance.
using TargetStatuses = std::map<std::string, TargetStatus>;

/// Returns those targets of \p Group among \p Statuses that may replace
/// \p OldPrimary: the replicas other than it.
std::vector<SuccessorCandidate> candidatesFrom(const GroupDispatcher &Group,
                                               const TargetStatuses &Statuses,
                                               const std::string &OldPrimary);

/// \class StepDownReport
/// \brief What the targets replied after a primary was made to step down.
struct StepDownReport {
  /// End of the old primary's log; empty if it did not report that it is a
  /// replica.
  std::optional<LogPosition> FinalPosition;
  /// Replies of the other targets to requests that were sent after that.
  TargetStatuses Replies;

  /// Returns whether \p Instance has received the old primary's whole log.
  bool hasCaughtUp(const std::string &Instance) const;
  bool hasAnyCaughtUp() const;
};

/// \class TargetSurvey
/// \brief Asks targets for their statuses during a promotion.
///
/// Runs on the loop's thread.
class TargetSurvey {
public:
  struct Options {
    /// Time that the targets have to report how far their logs reach.
    Duration Timeout = std::chrono::milliseconds(500);
    /// Time that the successor of a demoted primary has to receive the rest of
    /// the primary's log. Includes the demotion.
    Duration CatchUpTimeout = std::chrono::milliseconds(400);
    /// Interval at which an awaited condition is checked.
    Duration PollInterval = std::chrono::milliseconds(20);
  };

  TargetSurvey(Options Opts, ProxyService &Service)
      : Opts(Opts), Service(Service) {}

  /// Asks all targets of \p Group except \p ExcludedInstance for their status
  /// and returns the replies that arrive within Timeout.
  boost::asio::awaitable<TargetStatuses> run(std::string Group,
                                             std::string ExcludedInstance);
  /// Asks the targets \p Instances for their status, again and again until each
  /// has replied or \p End has passed, and returns the replies.
  boost::asio::awaitable<TargetStatuses>
  askAgain(std::string Group, std::set<std::string> Instances, TimePoint End);
  /// Demotes \p OldPrimary if its term is below \p Below, and waits until
  /// \p Successor has received its whole log, at most for CatchUpTimeout.
  boost::asio::awaitable<StepDownReport> stepDown(std::string Group,
                                                  std::string OldPrimary,
                                                  std::string Successor,
                                                  Term Below);
  /// Waits until \p Instance is the confirmed primary; false if it is not
  /// within \p Timeout.
  boost::asio::awaitable<bool>
  awaitPrimary(std::string Group, std::string Instance, Duration Timeout);

private:
  /// Makes \p Instance a replica if its term is below \p Below; asks again
  /// until \p End. Returns the end of its log, or nothing without a reply.
  boost::asio::awaitable<std::optional<LogPosition>>
  demote(std::string Group, std::string Instance, Term Below, TimePoint End);

  Options Opts;
  ProxyService &Service;
};

} // namespace cicadawind

#endif
