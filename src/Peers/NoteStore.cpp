// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Peers/NoteStore.h"

#include "Platform/ObjectStore.h"

#include <cstdlib>

namespace cicadawind {
namespace internal {

static const std::string NoteKind = "notes";
static const std::string HeadName = "head";
static const std::string SnapshotName = "snapshot";

} // namespace internal

NoteStore::NoteStore(ObjectStore &Store, ConfigHistory &History)
    : Store(Store), History(History) {}

boost::asio::awaitable<Result<NoteDocument>>
NoteStore::read(std::uint64_t Number, Duration Timeout) {
  std::string Name = std::to_string(Number);
  Result<StoredObject> Object =
      co_await Store.read(internal::NoteKind, Name, Timeout);
  if (const Error *E = errorOf(Object))
    co_return *E;
  if (!valueOf(Object).exists())
    co_return NoteDocument();
  co_return decodeDocument(valueOf(Object).Value);
}

boost::asio::awaitable<Status> NoteStore::loadSnapshot(Duration Timeout) {
  Result<StoredObject> Object =
      co_await Store.read(internal::NoteKind, internal::SnapshotName, Timeout);
  if (const Error *E = errorOf(Object))
    co_return *E;
  if (!valueOf(Object).exists())
    co_return std::monostate();
  Result<ServiceConfig> Config = decodeConfig(valueOf(Object).Value);
  if (const Error *E = errorOf(Config))
    co_return *E;
  History.applySnapshot(valueOf(Config));
  co_return std::monostate();
}

boost::asio::awaitable<Status> NoteStore::catchUp(Duration Timeout) {
  if (History.number() == 0) {
    Status Loaded = co_await loadSnapshot(Timeout);
    if (errorOf(Loaded))
      co_return Loaded;
  }
  for (;;) {
    Result<NoteDocument> Next = co_await read(History.number() + 1, Timeout);
    if (const Error *E = errorOf(Next))
      co_return *E;
    if (valueOf(Next).Number == 0)
      co_return std::monostate();
    Status Applied = History.applyNote(valueOf(Next));
    if (errorOf(Applied))
      co_return Applied;
  }
}

boost::asio::awaitable<Status> NoteStore::watch(Duration Wait) {
  Result<StoredObject> Head = co_await Store.watch(
      internal::NoteKind, internal::HeadName, HeadVersion, Wait);
  if (const Error *E = errorOf(Head))
    co_return *E;
  HeadVersion = valueOf(Head).Version;
  std::uint64_t Stored =
      std::strtoull(valueOf(Head).Value.c_str(), nullptr, 10);
  Status CaughtUp = co_await catchUp(Wait);
  // A submitter may have stopped after it created its note and before it
  // updated the head.
  if (!errorOf(CaughtUp) && History.number() > Stored)
    co_await updateHead(History.number(), Wait);
  co_return CaughtUp;
}

boost::asio::awaitable<NoteStore::CreateOutcome>
NoteStore::create(NoteDocument Document, Duration Timeout) {
  std::uint64_t Number = Document.Number;
  std::string Name = std::to_string(Number);
  std::string Text = encodeDocument(Document);
  WriteResult Written =
      co_await Store.write(internal::NoteKind, Name, Text, 0, Timeout);
  switch (Written.Outcome) {
  case WriteOutcome::Conflict:
    co_return CreateOutcome::NumberTaken;
  case WriteOutcome::Unknown:
    co_return CreateOutcome::Unknown;
  case WriteOutcome::NotWritten:
    co_return CreateOutcome::NotWritten;
  case WriteOutcome::Accepted:
    break;
  }
  co_await updateHead(Number, Timeout);
  co_return CreateOutcome::Created;
}

boost::asio::awaitable<void> NoteStore::updateHead(std::uint64_t Number,
                                                   Duration Timeout) {
  Result<StoredObject> Head =
      co_await Store.read(internal::NoteKind, internal::HeadName, Timeout);
  if (errorOf(Head))
    co_return;
  std::uint64_t Stored =
      std::strtoull(valueOf(Head).Value.c_str(), nullptr, 10);
  if (Stored >= Number)
    co_return;
  std::string Text = std::to_string(Number);
  std::uint64_t Version = valueOf(Head).Version;
  co_await Store.write(internal::NoteKind, internal::HeadName, Text, Version,
                       Timeout);
  if (Number % NotesPerSnapshot == 0)
    co_await writeSnapshot(Timeout);
}

boost::asio::awaitable<void> NoteStore::writeSnapshot(Duration Timeout) {
  Result<StoredObject> OldSnapshot =
      co_await Store.read(internal::NoteKind, internal::SnapshotName, Timeout);
  if (errorOf(OldSnapshot))
    co_return;
  std::string Text = encodeConfig(History.config());
  std::uint64_t Version = valueOf(OldSnapshot).Version;
  if (Version != 0) {
    Result<ServiceConfig> Stored = decodeConfig(valueOf(OldSnapshot).Value);
    if (!errorOf(Stored) && valueOf(Stored).Number >= History.number())
      co_return;
  }
  co_await Store.write(internal::NoteKind, internal::SnapshotName, Text,
                       Version, Timeout);
}

} // namespace cicadawind
