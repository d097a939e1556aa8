#ifndef CICADAWIND_TEST_FAKES_MEMORYSTORE_H
#define CICADAWIND_TEST_FAKES_MEMORYSTORE_H

#include "Async/AsyncSignal.h"
#include "Platform/ObjectStore.h"
#include "Platform/StoreRevision.h"

#include <map>
#include <string>
#include <utility>

namespace cicadawind::fakes {

/// \class MemoryStore
/// \brief ObjectStore in memory with faults that tests can inject.
class MemoryStore : public ObjectStore {
public:
  explicit MemoryStore(boost::asio::io_context &Loop) : Changed(Loop) {}

  bool Outage = false;
  /// Time that each read takes before it reads.
  Duration ReadTime = Duration::zero();
  /// Number of upcoming writes that take effect without a response.
  int LoseAnswers = 0;
  /// Number of upcoming writes that do not take effect and get no response.
  int LoseRequests = 0;
  /// Number of upcoming writes before which restoreCopy() takes place.
  int RestoresBeforeWrite = 0;

  boost::asio::awaitable<Result<StoredObject>>
  read(std::string Kind, std::string Name, Duration) override {
    if (ReadTime > Duration::zero())
      co_await sleepFor(ReadTime);
    if (Outage)
      co_return unavailable();
    co_return current(Kind + "/" + Name);
  }

  boost::asio::awaitable<Result<StoredObject>> watch(std::string Kind,
                                                     std::string Name,
                                                     std::uint64_t Known,
                                                     Duration Wait) override {
    TimePoint End = BootClock::now() + Wait;
    std::string Key = Kind + "/" + Name;
    while (Objects[Key].Version == Known && BootClock::now() < End)
      co_await Changed.wait(End - BootClock::now());
    if (Outage)
      co_return unavailable();
    co_return current(Key);
  }

  boost::asio::awaitable<WriteResult> write(std::string Kind, std::string Name,
                                            std::string Value,
                                            std::uint64_t Expected,
                                            Duration) override {
    if (Outage)
      co_return WriteResult{.Outcome = WriteOutcome::NotWritten,
                            .Message = "the store is unavailable"};
    if (LoseRequests > 0) {
      --LoseRequests;
      co_return WriteResult{.Outcome = WriteOutcome::Unknown};
    }
    if (RestoresBeforeWrite > 0) {
      --RestoresBeforeWrite;
      restoreCopy();
    }
    StoredObject &Object = Objects[Kind + "/" + Name];
    // The store compares the numbers alone, also across a restore.
    if (StoreRevision::unpack(Object.Version).Number !=
        StoreRevision::unpack(Expected).Number)
      co_return WriteResult{.Outcome = WriteOutcome::Conflict};
    Object.Value = std::move(Value);
    StoreRevision Next = StoreRevision::unpack(Object.Version);
    Object.Version =
        StoreRevision{.Era = Era, .Number = Next.Number + 1}.pack();
    Changed.notifyAll();
    if (LoseAnswers > 0) {
      --LoseAnswers;
      co_return WriteResult{.Outcome = WriteOutcome::Unknown};
    }
    co_return WriteResult{.Outcome = WriteOutcome::Accepted,
                          .Version = Object.Version};
  }

  boost::asio::awaitable<WriteResult> remove(std::string Kind, std::string Name,
                                             std::uint64_t Expected,
                                             Duration) override {
    if (Outage)
      co_return WriteResult{.Outcome = WriteOutcome::NotWritten,
                            .Message = "the store is unavailable"};
    auto It = Objects.find(Kind + "/" + Name);
    if (It == Objects.end() || !It->second.exists() ||
        StoreRevision::unpack(It->second.Version).Number !=
            StoreRevision::unpack(Expected).Number)
      co_return WriteResult{.Outcome = WriteOutcome::Conflict};
    Objects.erase(It);
    Changed.notifyAll();
    co_return WriteResult{.Outcome = WriteOutcome::Accepted};
  }

  /// Writes an object without a condition, as another VM may.
  void put(const std::string &Kind, const std::string &Name,
           std::string Value) {
    StoredObject &Object = Objects[Kind + "/" + Name];
    Object.Value = std::move(Value);
    Object.Version =
        StoreRevision{.Era = Era,
                      .Number =
                          StoreRevision::unpack(Object.Version).Number + 1}
            .pack();
    Changed.notifyAll();
  }

  /// Returns the value of an object; empty if there is none.
  std::string valueOf(const std::string &Kind, const std::string &Name) {
    return Objects[Kind + "/" + Name].Value;
  }

  /// Keeps a copy of all objects, to which restoreCopy() returns: what was
  /// written since is lost, versions go back and a new era begins.
  void keepCopy() { Copy = Objects; }
  void restoreCopy() {
    Objects = Copy;
    ++Era;
  }

private:
  /// Returns the object with the version that a response names.
  StoredObject current(const std::string &Key) {
    StoredObject Out = Objects[Key];
    if (Out.exists())
      Out.Version =
          StoreRevision{.Era = Era,
                        .Number = StoreRevision::unpack(Out.Version).Number}
              .pack();
    return Out;
  }

  static Error unavailable() {
    return Error{.Code = ErrorCode::StoreUnavailable,
                 .Message = "the store is unavailable"};
  }

  std::map<std::string, StoredObject> Objects;
  std::map<std::string, StoredObject> Copy;
  std::uint64_t Era = 0;
  AsyncSignal Changed;
};

} // namespace cicadawind::fakes

#endif
