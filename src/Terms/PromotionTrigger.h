#ifndef CICADAWIND_TERMS_PROMOTIONTRIGGER_H
#define CICADAWIND_TERMS_PROMOTIONTRIGGER_H

#include "Core/Clock.h"
#include "Terms/InstanceReport.h"
#include "Terms/TermRecord.h"

#include <map>
#include <string>

namespace cicadawind {

/// \class PromotionTrigger
/// \brief Decides when a primary must be replaced.
///
/// Relies on the recent reports of the replicas that follow the primary. A
/// promotion starts only if these replicas alone are a majority of all members,
/// the primary included, and the last contact of each of them with the primary
/// was at least SuspectAfter, plus this pooler's RankDelay, before its report.
/// A pooler that is cut off from the network, or only slow, has no recent
/// reports and starts nothing. If another pooler has claimed a term and makes
/// no progress for ClaimTimeout plus RankDelay, this pooler claims the next
/// term.
///
/// All times are arguments. Performs no input or output. Not thread safe.
class PromotionTrigger {
public:
  struct Options {
    /// Time without contact after which a replica's report counts against the
    /// primary.
    Duration SuspectAfter = std::chrono::milliseconds(600);
    /// Age beyond which a replica's report is ignored.
    Duration MaxReportAge = std::chrono::milliseconds(400);
    /// Time within which a claim must make progress, or a newly named primary
    /// must start to serve.
    Duration ClaimTimeout = std::chrono::milliseconds(1200);
    /// Additional delay of this pooler, by its rank among the poolers that may
    /// promote.
    Duration RankDelay = Duration::zero();
  };

  explicit PromotionTrigger(Options Opts) : Opts(Opts) {}

  /// Processes a report that arrived at \p Now.
  void add(const InstanceReport &Report, TimePoint Now);

  /// Records that \p Record was read with \p Version at \p Now.
  void observe(const TermRecord &Record, std::uint64_t Version, TimePoint Now);

  /// Returns whether to claim the term after \p Record at \p Now.
  bool shouldPromote(const TermRecord &Record, TimePoint Now) const;

private:
  struct ReplicaReport {
    TimePoint ReceivedAt;
    std::optional<Millis> SincePrimaryContact;
    std::string ReplicatesFrom;
  };

  /// Returns whether a majority of the members report the primary as
  /// unresponsive, and no recent report contradicts them.
  bool isPrimaryUnresponsive(const TermRecord &Record, TimePoint Now) const;

  Options Opts;
  std::map<std::string, ReplicaReport> ReplicaReports;
  /// Version of the record that was read last, and when it was first read.
  std::uint64_t SeenVersion = 0;
  TimePoint SeenSince;
};

} // namespace cicadawind

#endif
