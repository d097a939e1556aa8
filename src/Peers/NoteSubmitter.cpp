// Boost.Asio 1.74's coroutine headers need <utility> to come first.
#include <utility>

#include "Peers/NoteSubmitter.h"

#include "Async/AsyncSignal.h"
#include "Peers/NoteStore.h"
#include "ReleaseNotes/ConfigHistory.h"
#include "StateCharts/StateMachine.h"

#include <algorithm>

namespace cicadawind {
namespace internal {

constexpr Duration StoreCallTimeout = std::chrono::seconds(2);
/// Wait between attempts to find out whether the note was created.
constexpr Duration SettleBackoff = std::chrono::milliseconds(100);

} // namespace internal

NoteSubmitter::NoteSubmitter(NoteStore &Store, ConfigHistory &History,
                             std::shared_ptr<const StateChart> Chart)
    : Store(Store), History(History), Chart(std::move(Chart)) {}

Status NoteSubmitter::check(const std::string &Text,
                            const std::string &Origin) const {
  Result<ReleaseNote> Note = ReleaseNote::parse(Text, Origin);
  if (const Error *E = errorOf(Note))
    return *E;
  Result<ServiceConfig> Next = valueOf(Note).apply(History.config(), Origin);
  if (const Error *E = errorOf(Next))
    return *E;
  return std::monostate();
}

std::uint64_t
NoteSubmitter::findSubmission(const std::string &Submission) const {
  std::uint64_t Oldest = History.number() > ConfigHistory::KeptNotes
                             ? History.number() - ConfigHistory::KeptNotes
                             : 0;
  while (Oldest < History.number() && !History.hasNotesSince(Oldest))
    ++Oldest;
  for (const NoteDocument &Document : History.notesAfter(Oldest))
    if (Document.Submission == Submission)
      return Document.Number;
  return 0;
}

Status NoteSubmitter::checkConflicts(const ReleaseNote &Note,
                                     std::uint64_t StartNumber) const {
  std::uint64_t From = Note.Base.value_or(StartNumber);
  if (From >= History.number())
    return std::monostate();
  if (!History.hasNotesSince(From))
    return Error{.Code = ErrorCode::Conflict,
                 .Message = "base " + std::to_string(From) +
                            " is too old; read the configuration again"};
  for (const NoteDocument &Document : History.notesAfter(From)) {
    std::string Number = std::to_string(Document.Number);
    Result<ReleaseNote> Other =
        ReleaseNote::parse(Document.Text, "note " + Number);
    if (errorOf(Other))
      continue;
    std::string Subject = Note.conflictWith(valueOf(Other));
    if (!Subject.empty())
      return Error{.Code = ErrorCode::Conflict,
                   .Message = "note " + Number + " by " +
                              valueOf(Other).Author +
                              " was accepted first and also names " + Subject};
  }
  return std::monostate();
}

boost::asio::awaitable<Result<std::uint64_t>>
NoteSubmitter::submit(std::string Text, std::string Origin,
                      std::string Submission, Duration Timeout) {
  Result<ReleaseNote> Note = ReleaseNote::parse(Text, Origin);
  if (const Error *E = errorOf(Note))
    co_return *E;
  TimePoint Deadline = BootClock::now() + Timeout;
  StateMachine Machine(Chart);
  std::optional<std::uint64_t> StartNumber;
  Error LastError{.Code = ErrorCode::StoreUnavailable,
                  .Message =
                      "the platform's store is away; nothing was changed"};
  // A create request without a response may still take effect later.
  bool CreateOutcomeUnknown = false;
  NoteDocument Document{
      .Number = 0, .Submission = Submission, .Text = std::move(Text)};
  while (!Machine.finished()) {
    bool Expired = BootClock::now() >= Deadline;
    if (Machine.is("reading")) {
      Status Read = co_await Store.catchUp(internal::StoreCallTimeout);
      if (const Error *E = errorOf(Read)) {
        LastError = *E;
        Machine.fire("unavailable");
        continue;
      }
      StartNumber = StartNumber.value_or(History.number());
      Machine.fire("read");
    } else if (Machine.is("checking")) {
      Document.Number = findSubmission(Submission);
      if (Document.Number != 0)
        co_return Document.Number;
      Document.Number = History.number() + 1;
      Status NoConflict = checkConflicts(valueOf(Note), *StartNumber);
      if (const Error *E = errorOf(NoConflict)) {
        LastError = *E;
        Machine.fire("conflict");
        continue;
      }
      Result<ServiceConfig> Next =
          valueOf(Note).apply(History.config(), Origin);
      if (const Error *E = errorOf(Next))
        LastError = *E;
      Machine.fire(errorOf(Next) ? "invalid" : "valid");
    } else if (Machine.is("creating")) {
      NoteStore::CreateOutcome Created =
          co_await Store.create(Document, internal::StoreCallTimeout);
      if (Created == NoteStore::CreateOutcome::Created) {
        Machine.fire("created");
        History.applyNote(Document);
      } else if (Created == NoteStore::CreateOutcome::NumberTaken) {
        // The number belongs to another note or to an earlier create request
        // of this one.
        Machine.fire("unknown");
      } else if (Created == NoteStore::CreateOutcome::Unknown) {
        CreateOutcomeUnknown = true;
        Machine.fire("unknown");
      } else {
        Machine.fire("unavailable");
      }
    } else if (Machine.is("settling")) {
      Result<NoteDocument> Stored =
          co_await Store.read(Document.Number, internal::StoreCallTimeout);
      if (errorOf(Stored)) {
        Machine.fire(Expired ? "expired" : "unknown");
        co_await sleepFor(internal::SettleBackoff);
      } else if (valueOf(Stored).Number == 0) {
        // The create request has not taken effect. Wait before the next one,
        // since the store may be failing.
        co_await sleepFor(internal::SettleBackoff);
        Machine.fire(Expired ? "expired" : "absent");
      } else if (valueOf(Stored).Submission == Submission) {
        Machine.fire("mine");
        co_await Store.catchUp(internal::StoreCallTimeout);
      } else {
        // Another note has the number, so no earlier create request of this one
        // can still take effect.
        CreateOutcomeUnknown = false;
        Machine.fire("other");
      }
    }
  }
  if (Machine.is("accepted"))
    co_return Document.Number;
  if (Machine.is("unsettled") || CreateOutcomeUnknown) {
    LastError.Outcome = Verdict::MayHaveRun;
    LastError.Message = "the store did not answer; submit again with the same "
                        "submission id to learn the outcome";
  }
  co_return LastError;
}

} // namespace cicadawind
