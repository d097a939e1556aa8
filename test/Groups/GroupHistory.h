#ifndef CICADAWIND_TEST_GROUPS_GROUPHISTORY_H
#define CICADAWIND_TEST_GROUPS_GROUPHISTORY_H

#include "Core/Clock.h"
#include "Core/LogPosition.h"
#include "Core/Verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadawind::test {

using WriteId = std::uint64_t;

/// \class GroupHistory
/// \brief What happened in one schedule, and the check of the promises.
///
/// Checks that acknowledged writes are in the final log exactly once, that
/// "not run" writes never reached a log, that no answer was let out under a
/// term that a newer open primary had replaced, and that reads saw every write
/// acknowledged before the time that they must reflect.
class GroupHistory {
public:
  void acknowledged(WriteId Id, TimePoint At, Term Under);
  void notRun(WriteId Id) { NotRun.insert(Id); }
  /// An instance appended the write to its log as primary.
  void appended(WriteId Id) { ++Appended[Id]; }
  /// An instance opened as primary of \p Opened.
  void opened(Term Opened, TimePoint At);
  /// A read that must reflect all writes acknowledged before \p AsOf saw
  /// \p Seen, and was let out under term \p Under at \p At.
  void read(const std::set<WriteId> &Seen, TimePoint AsOf, TimePoint At,
            Term Under);

  /// The first broken promise; empty when all hold. \p FinalLog holds the
  /// writes of the last primary's log in order.
  std::string check(const std::vector<WriteId> &FinalLog) const;

  std::size_t acknowledgedCount() const { return Acks.size(); }
  std::size_t readCount() const { return Reads; }
  std::optional<TimePoint> lastAcknowledged() const;

private:
  struct Ack {
    TimePoint At;
    Term Under;
  };

  void checkTerm(const char *What, TimePoint At, Term Under);

  std::map<WriteId, Ack> Acks;
  std::set<WriteId> NotRun;
  std::map<WriteId, int> Appended;
  std::map<Term, TimePoint> OpenedAt;
  std::size_t Reads = 0;
  std::string Broken;
};

} // namespace cicadawind::test

#endif
