#include "Quotas/PermitQueue.h"

#include <algorithm>

namespace cicadawind {

std::size_t PermitQueue::asked() const {
  // Operations whose permit is under way may have been removed.
  return std::min(Asked, Waiters.size());
}

void PermitQueue::recordAnswered(std::size_t Count) {
  Asked -= std::min(Asked, Count);
}

bool PermitQueue::remove(std::uint64_t Ticket) {
  return std::erase_if(Waiters, [Ticket](const Operation &Each) {
           return Each.Ticket == Ticket;
         }) > 0;
}

PermitQueue::Operations PermitQueue::takeOldest(std::size_t Count) {
  Operations Out;
  for (; Count > 0 && !Waiters.empty(); --Count) {
    Out.push_back(std::move(Waiters.front()));
    Waiters.pop_front();
  }
  return Out;
}

PermitQueue::Operations PermitQueue::takeExpired(TimePoint Now) {
  auto Expired = std::stable_partition(
      Waiters.begin(), Waiters.end(),
      [Now](const Operation &Each) { return Now < Each.GiveUpAt; });
  Operations Out(std::make_move_iterator(Expired),
                 std::make_move_iterator(Waiters.end()));
  Waiters.erase(Expired, Waiters.end());
  return Out;
}

PermitQueue::Operations PermitQueue::takeUnasked(std::size_t MaxKept,
                                                 TimePoint Until) {
  Operations Out;
  std::deque<Operation> Kept;
  std::size_t AskedLeft = asked();
  for (Operation &Each : Waiters) {
    if (AskedLeft > 0) {
      --AskedLeft;
      Kept.push_back(std::move(Each));
    } else if (MaxKept > 0 && Until < Each.GiveUpAt) {
      --MaxKept;
      Kept.push_back(std::move(Each));
    } else {
      Out.push_back(std::move(Each));
    }
  }
  Waiters = std::move(Kept);
  return Out;
}

} // namespace cicadawind
