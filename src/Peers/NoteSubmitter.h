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
/// \brief Puts one operator's release note into force, or says why not.
///
/// Interprets the chart "note_submission". Of two notes at one moment, the one
/// that creates the next number wins. The other is applied on top when they
/// name different subjects, and is refused with the winner's number and the
/// shared subject when they do not. Repeating a submission with the same id is
/// safe at any daemon: it finds its own note instead of adding it twice.
class NoteSubmitter {
public:
  NoteSubmitter(NoteStore &Store, ConfigHistory &History,
                std::shared_ptr<const StateChart> Chart);

  /// Number of the accepted note. An error is NotRun when the note is not and
  /// will not be in force, MayHaveRun when the store left that open.
  boost::asio::awaitable<Result<std::uint64_t>> submit(std::string Text,
                                                       std::string Origin,
                                                       std::string Submission,
                                                       Duration Limit);

  /// Checks without submitting.
  Status check(const std::string &Text, const std::string &Origin) const;

private:
  std::uint64_t findSubmission(const std::string &Submission) const;
  Status checkConflicts(const ReleaseNote &Note, std::uint64_t Since) const;

  NoteStore &Store;
  ConfigHistory &History;
  std::shared_ptr<const StateChart> Chart;
};

} // namespace cicadawind

#endif
