#ifndef CICADAWIND_TEST_PROMOTION_PROMOTIONSEARCH_H
#define CICADAWIND_TEST_PROMOTION_PROMOTIONSEARCH_H

#include "Promotion/PromotionModel.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

namespace cicadawind::test {

/// \class PromotionSearch
/// \brief Looks for a sequence of events after which an invariant of
/// PromotionModel does not hold.
///
/// States that were seen are known by a hash of 64 bits, so a state may be left
/// out, with a probability of 1e-7 for a million states.
class PromotionSearch {
public:
  using Trace = std::vector<PromotionEvent>;

  struct Outcome {
    /// Empty if no violation was found.
    std::string Violation;
    /// The events from the first state on.
    Trace Events;
    std::size_t States = 0;
    /// Number of events after the start up to which every order was tried.
    unsigned CompleteDepth = 0;
  };

  explicit PromotionSearch(PromotionModel::Options Opts) : Opts(Opts) {}

  /// Tries every order of at most \p MaxDepth events after \p Start, until one
  /// violates an invariant or \p MaxStates were seen.
  Outcome breadthFirst(const Trace &Start, unsigned MaxDepth,
                       std::size_t MaxStates);
  /// Runs \p Length random events that \p Seed determines.
  Outcome walk(std::uint64_t Seed, unsigned Length) const;
  /// Returns \p Events without those that its violation does not need.
  Outcome shorten(Trace Events) const;
  /// Runs those of \p Events that are enabled when it is their turn.
  PromotionModel play(const Trace &Events) const;

  static Trace parse(const std::vector<std::string> &Texts);
  static std::string toString(const Trace &Events);

private:
  struct Node {
    std::uint32_t Parent = 0;
    /// Index in allPromotionEvents().
    std::uint8_t Event = 0;
  };

  Trace eventsTo(const Trace &Start, std::size_t Index) const;
  /// Appends the states after the one of \p Index. Returns whether one violates
  /// an invariant; it is then the last one.
  bool expand(const Trace &Start, std::size_t Index);

  PromotionModel::Options Opts;
  std::vector<Node> Nodes;
  std::unordered_set<std::uint64_t> Seen;
};

} // namespace cicadawind::test

#endif
