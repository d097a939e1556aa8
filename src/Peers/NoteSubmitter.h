#ifndef CICADAWIND_PEERS_NOTESUBMITTER_H
#define CICADAWIND_PEERS_NOTESUBMITTER_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "ReleaseNotes/ReleaseNote.h"
#include "StateCharts/StateChart.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace cicadawind {

class ConfigHistory;
class NoteStore;

/// \class NoteSubmitter
/// \brief Submits an operator's release note to the store, or returns why it
/// cannot become active.
///
/// Follows the chart "note_submission". If two notes are submitted at the same
/// time, the one that creates the next number comes first. The other one is
/// added after it if the notes name different subjects. Otherwise it is refused
/// with the first note's number and the common subject. A submission may be
/// repeated with the same id at any daemon: the daemon finds the note of the
/// first attempt instead of adding it twice.
class NoteSubmitter {
public:
  NoteSubmitter(NoteStore &Store, ConfigHistory &History,
                std::shared_ptr<const StateChart> Chart);

  /// Submits the note \p Text and returns the number of the accepted note.
  ///
  /// \p Origin names the source of the text in errors, \p Submission is the id
  /// of the submission. If the store does not respond to the create request,
  /// its outcome is queried and the request repeated if needed, for at most
  /// \p Timeout. The verdict of an error is NotRun if the note is not and will
  /// not become active, and MayHaveRun if that is not known.
  boost::asio::awaitable<Result<std::uint64_t>> submit(std::string Text,
                                                       std::string Origin,
                                                       std::string Submission,
                                                       Duration Timeout);

  /// Validates the note \p Text against the active configuration without
  /// submitting it.
  Status check(const std::string &Text, const std::string &Origin) const;

private:
  /// Returns the number of the note with this submission id; 0 if there is none
  /// among the notes that the history keeps.
  std::uint64_t findSubmission(const std::string &Submission) const;
  /// Returns a Conflict error if a later note names a subject of \p Note, or if
  /// the history does not keep all later notes. Later means after the base of
  /// \p Note or, if it has none, after \p StartNumber.
  Status checkConflicts(const ReleaseNote &Note,
                        std::uint64_t StartNumber) const;

  NoteStore &Store;
  ConfigHistory &History;
  std::shared_ptr<const StateChart> Chart;
};

} // namespace cicadawind

#endif
