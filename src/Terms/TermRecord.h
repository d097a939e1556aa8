#ifndef CICADAWIND_TERMS_TERMRECORD_H
#define CICADAWIND_TERMS_TERMRECORD_H

#include "Core/LogPosition.h"
#include "Core/Result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadawind {

/// End of a term's log: the last index that the next term kept.
struct TermEnd {
  /// The term that ended.
  Term Ended = 0;
  LogIndex LastIndex = 0;

  bool operator==(const TermEnd &) const = default;
};

/// Whether a log position survived the changes of primary since it was written.
enum class PositionOutcome {
  /// Written in the current term, or kept by every later term.
  Survives,
  /// Beyond the last index that a later term kept.
  Discarded,
  /// Not decided by the record: written in a future term, in one too old to be
  /// listed, or in an earlier term while the phase is Electing, since the end
  /// of the last open term is not decided then.
  Unknown,
};

/// \class TermRecord
/// \brief The record of one database's primary in the platform's store.
///
/// Only changed by conditional updates, so the terms of a database form one
/// linear history. In phase Electing, a term has been claimed and no instance
/// may serve it yet. In phase Open, Primary is the instance that may serve it.
/// The record grows by one TermEnd for each promotion, up to MaxEnds.
struct TermRecord {
  enum class Phase { Electing, Open };

  /// Number of ends kept. At three promotions a day this covers three weeks.
  static constexpr std::size_t MaxEnds = 64;

  Term Current = 0;
  Phase State = Phase::Electing;
  /// Instance that may serve the current term. Only meaningful in phase Open:
  /// in phase Electing, it still names the primary of the last open term.
  std::string Primary;
  /// Identifier of the promotion attempt that claimed the term. Unique for each
  /// attempt.
  std::string Claim;
  /// Instances whose majority decides on promotions and commits.
  std::vector<std::string> Members;
  /// Ends of earlier terms, oldest first.
  std::vector<TermEnd> Ends;

  bool operator==(const TermRecord &) const = default;

  bool isOpen() const { return State == Phase::Open; }

  /// Returns whether \p Position is part of the current term's log. A position
  /// survives if its own term and every later one ended at its index or beyond
  /// it.
  PositionOutcome outcomeOf(LogPosition Position) const;

  /// Appends \p End and drops the oldest end if there are more than MaxEnds.
  void addEnd(TermEnd End);
};

/// Returns the smallest number of members that is a majority of \p Members.
constexpr std::size_t quorumOf(std::size_t Members) { return Members / 2 + 1; }

/// Returns \p Record as JSON text, as the ObjectStore holds it under the kind
/// "terms".
std::string encodeTermRecord(const TermRecord &Record);

/// Parses text written by encodeTermRecord. Returns BadRequest if \p Text is
/// malformed.
Result<TermRecord> decodeTermRecord(const std::string &Text);

} // namespace cicadawind

#endif
