#ifndef CICADAWIND_LEASES_FENCEDPRIMARYGUARD_H
#define CICADAWIND_LEASES_FENCEDPRIMARYGUARD_H

#include "Leases/PrimaryGuard.h"

namespace cicadawind {

/// \class FencedPrimaryGuard
/// \brief Guard of a group whose platform fences promotions.
///
/// A replaced primary refuses requests from the moment at which the new one
/// leads, so each reply is right by itself and no lease is needed.
class FencedPrimaryGuard : public PrimaryGuard {
public:
  void setPrimary(const std::string &) override {}
  void setReplicas(const std::vector<std::string> &, TimePoint) override {}
  void recordStatus(const std::string &, const TargetStatus &,
                    TimePoint) override {}
  bool mayUse(const std::string &, TimePoint) const override { return true; }
  bool covers(const std::string &, TimePoint) const override { return true; }
  bool acceptsClaim(const std::string &, TimePoint) const override {
    return true;
  }
  std::string newerPrimary() const override { return {}; }
  std::vector<std::string> replacedPrimaries() const override { return {}; }
  std::vector<std::string> statusDue(bool, TimePoint) override { return {}; }
  std::optional<Term> peerEvidenceDue(TimePoint) override {
    return std::nullopt;
  }
  std::optional<Term> votesDue(TimePoint) override { return std::nullopt; }
  PrimaryLease *lease() override { return nullptr; }
  const PrimaryLease *lease() const override { return nullptr; }
  PromotionPromise *promise() override { return nullptr; }
};

} // namespace cicadawind

#endif
