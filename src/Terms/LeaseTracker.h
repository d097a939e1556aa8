#ifndef CICADAWIND_TERMS_LEASETRACKER_H
#define CICADAWIND_TERMS_LEASETRACKER_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"
#include "Terms/InstanceReport.h"

#include <map>
#include <string>
#include <vector>

namespace cicadawind {

/// \class LeaseTracker
/// \brief Decides whether replies of a primary may be returned to callers.
///
/// Evaluates the reports of the group's members. Reports of a majority
/// establish two facts:
///
///  - The lease: a majority had promised no higher term at some time after the
///    report requests were sent. A promotion fences a majority and waits for
///    Length before the new primary serves. The two majorities share a member,
///    which sent its report before it was fenced. Therefore no newer primary
///    serves before the send time plus Length.
///  - The commit index: the end of the log written in this term that is
///    replicated to a majority. Any later majority shares a member that holds
///    it. A promotion chooses the most advanced log, which therefore contains
///    it.
///
/// Processing a report costs O(log members). Evaluating the lease or the commit
/// index costs O(members log members). Not thread safe.
class LeaseTracker {
public:
  struct Options {
    /// Term that the lease belongs to.
    Term Current = 0;
    /// Instances whose majority decides; must not be empty.
    std::vector<std::string> Members;
    /// Duration of the lease, measured from when the requests were sent.
    Duration Length = Duration::zero();
  };

  explicit LeaseTracker(Options Opts);

  /// Processes \p Report, the reply to a request sent at \p RequestSent.
  /// Ignores reports of instances that are not members.
  void add(const InstanceReport &Report, TimePoint RequestSent);

  Term term() const { return Opts.Current; }
  Duration length() const { return Opts.Length; }

  /// Returns whether a member has promised a higher term.
  bool superseded() const { return HighestTerm > Opts.Current; }

  /// Returns the highest term that any member has promised.
  Term highestPromisedTerm() const { return HighestTerm; }

  /// Returns the time at which the lease starts: among the majority of members
  /// with the most recent reports, the earliest send time of a request. The
  /// lease lasts Length from it. Returns the clock's epoch if no majority has
  /// reported.
  TimePoint leaseStart() const;

  /// Returns whether a reply may be returned to a caller at \p Now.
  bool validAt(TimePoint Now) const;

  /// Returns the highest index written in this term that is replicated to a
  /// majority; 0 if there is none.
  LogIndex commitIndex() const;

  /// Returns whether \p Position was written in this term and is replicated to
  /// a majority.
  bool isCommitted(LogPosition Position) const;

private:
  struct MemberState {
    /// Send time of the latest request that the member replied to.
    TimePoint RequestSent;
    /// Highest index written in this term that the member holds.
    LogIndex ReplicatedIndex = 0;
  };

  Options Opts;
  Term HighestTerm = 0;
  std::map<std::string, MemberState> Members;
};

} // namespace cicadawind

#endif
