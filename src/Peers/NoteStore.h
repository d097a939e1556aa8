#ifndef CICADAWIND_PEERS_NOTESTORE_H
#define CICADAWIND_PEERS_NOTESTORE_H

#include "Core/Clock.h"
#include "Core/Result.h"
#include "ReleaseNotes/ConfigHistory.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace cicadawind {

class ObjectStore;

/// \class NoteStore
/// \brief Reads and writes release notes in the platform's store.
///
/// The object "notes/N" contains note N. It is created once and never changed,
/// so that its creation decides which of several submissions becomes note N.
/// The object "notes/head" contains the latest number as a hint; daemons watch
/// it. The object "notes/snapshot" contains the whole configuration as of some
/// note, so that a new daemon does not have to read every note.
class NoteStore {
public:
  /// Number of notes between two snapshots.
  static constexpr std::uint64_t NotesPerSnapshot = 32;

  NoteStore(ObjectStore &Store, ConfigHistory &History);

  /// Adds the store's newer notes to the history, up to the last one.
  boost::asio::awaitable<Status> catchUp(Duration Timeout);

  /// Waits up to \p Wait for a change of the head and then calls catchUp.
  boost::asio::awaitable<Status> watch(Duration Wait);

  /// Outcome of create. NumberTaken means that a note with this number exists,
  /// Unknown that the store did not respond and may have created the note,
  /// NotWritten that nothing changed.
  enum class CreateOutcome { Created, NumberTaken, Unknown, NotWritten };

  /// Creates the object of \p Document under the document's number and updates
  /// the head.
  boost::asio::awaitable<CreateOutcome> create(NoteDocument Document,
                                               Duration Timeout);

  /// Returns the stored note \p Number; an empty document if there is none.
  boost::asio::awaitable<Result<NoteDocument>> read(std::uint64_t Number,
                                                    Duration Timeout);

private:
  /// Sets the head to \p Number if it is lower, and then writes a snapshot if
  /// \p Number is a multiple of NotesPerSnapshot.
  boost::asio::awaitable<void> updateHead(std::uint64_t Number,
                                          Duration Timeout);
  boost::asio::awaitable<void> writeSnapshot(Duration Timeout);
  boost::asio::awaitable<Status> loadSnapshot(Duration Timeout);

  ObjectStore &Store;
  ConfigHistory &History;
  /// Version of the head object when it was last read.
  std::uint64_t HeadVersion = 0;
};

} // namespace cicadawind

#endif
