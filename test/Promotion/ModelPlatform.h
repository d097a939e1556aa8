#ifndef CICADAWIND_TEST_PROMOTION_MODELPLATFORM_H
#define CICADAWIND_TEST_PROMOTION_MODELPLATFORM_H

#include "Core/LogPosition.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadawind::test {

/// \class ModelPlatform
/// \brief The targets of one group and the platform's fenced promotion call,
/// without time and sockets.
///
/// A target that was replaced keeps its log and its followed term until
/// follow(). Every entry counts as acknowledged when it is written.
class ModelPlatform {
public:
  static constexpr unsigned TargetCount = 3;

  struct Target {
    bool Runs = true;
    bool IsLeaving = false;
    /// Term that the target leads or follows.
    Term Follows = 1;
    /// The term of each entry, in the order of the log.
    std::string Log;

    LogPosition received() const;
  };

  /// Promotes \p Id unless the fence refuses \p Token or the target does not
  /// run. Returns whether the order was accepted.
  bool promote(unsigned Id, std::uint64_t Token);
  /// Ends the lead of the primary, from which the replicas copy on.
  void stepDown() { HasPrimary = false; }
  void commit();
  /// Lets \p Id roll back what its source lacks, and follow the source's term.
  void follow(unsigned Id);
  /// Lets \p Id follow its source, and copy its whole log.
  void copy(unsigned Id);

  bool leads(unsigned Id) const { return HasPrimary && Id == Source; }
  /// Returns the target that was promoted last, from which the others copy.
  unsigned source() const { return Source; }
  bool hasPrimary() const { return HasPrimary; }
  Target &at(unsigned Id) { return Targets[Id]; }
  const Target &at(unsigned Id) const { return Targets[Id]; }
  /// Returns the name of the superseded entry that a promotion brought back;
  /// empty if there is none.
  const std::string &returned() const { return Returned; }
  /// Returns the name of the last acknowledged entry, if the log of \p Id lacks
  /// it; empty otherwise. An entry is acknowledged here once another target has
  /// copied it from the primary that leads.
  std::string lackedBy(unsigned Id) const;
  /// Appends what distinguishes this state from others to \p Out.
  void appendKey(std::string &Out) const;

private:
  void supersede(const std::string &NewLog);
  void findReturned(const std::string &NewLog);

  std::array<Target, TargetCount> Targets;
  unsigned Source = 0;
  bool HasPrimary = true;
  Term Current = 1;
  std::uint64_t HighestToken = 0;
  /// Sorted positions of the entries that a newer term's primary lacked when it
  /// was promoted.
  std::vector<LogPosition> Superseded;
  std::string Returned;
  /// The terms of the acknowledged entries that no promotion has discarded.
  std::string Acknowledged;
};

} // namespace cicadawind::test

#endif
