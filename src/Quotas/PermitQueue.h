#ifndef CICADAWIND_QUOTAS_PERMITQUEUE_H
#define CICADAWIND_QUOTAS_PERMITQUEUE_H

#include "Core/Clock.h"
#include "Quotas/PermitOutcome.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace cicadawind {

/// \class PermitQueue
/// \brief The operations of one account that wait for a permit, oldest first.
///
/// Invariant: asked() <= size(), the number of operations for which permits are
/// being asked for. Not thread safe.
class PermitQueue {
public:
  struct Operation {
    std::uint64_t Ticket = 0;
    TimePoint GiveUpAt;
    std::function<void(const PermitOutcome &)> Hook;
  };
  using Operations = std::vector<Operation>;

  void push(Operation Waiting) { Waiters.push_back(std::move(Waiting)); }
  /// Removes the operation \p Ticket; returns false if it is not there.
  bool remove(std::uint64_t Ticket);
  std::size_t size() const { return Waiters.size(); }
  /// Returns the number of operations for which no permit is being asked for.
  std::size_t unasked() const { return Waiters.size() - asked(); }
  std::size_t asked() const;
  void recordAsked(std::size_t Count) { Asked += Count; }
  /// Records that \p Count permits that were asked for do not come any more.
  void recordAnswered(std::size_t Count);

  /// Removes and returns the \p Count oldest operations, or all if there are
  /// fewer.
  Operations takeOldest(std::size_t Count);
  /// Removes and returns those whose time is over.
  Operations takeExpired(TimePoint Now);
  /// Removes and returns those for which no permit is being asked for, except
  /// the \p MaxKept oldest that can wait until \p Until.
  Operations takeUnasked(std::size_t MaxKept, TimePoint Until);

private:
  std::deque<Operation> Waiters;
  std::size_t Asked = 0;
};

} // namespace cicadawind

#endif
