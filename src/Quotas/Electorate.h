#ifndef CICADAWIND_QUOTAS_ELECTORATE_H
#define CICADAWIND_QUOTAS_ELECTORATE_H

#include "Quotas/LimitShares.h"

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadawind {

/// \class Electorate
/// \brief The VMs of a failure domain that vote on its issuers.
///
/// VMs that are gone by their own word are left out at once. VMs that are
/// merely silent may be cut off, and vote on an issuer of their own: they are
/// left out only while this VM reaches a majority of those that it knew before,
/// so that the smaller part of a failure domain never takes itself for the
/// whole. VMs that were left out one after the other may meet later, with some
/// that were not, so all but a majority of the rest never are a majority of
/// those that this VM has known. update() costs O(VMs of the failure domain),
/// votersOf() O(1). Not thread safe.
class Electorate {
public:
  /// Limits the messages of an issuer in large failure domains.
  static constexpr std::size_t MaxVoters = 15;

  explicit Electorate(std::string OwnVm) : OwnVm(std::move(OwnVm)) {}

  /// Sets the VMs of the own failure domain that count, and those of them that
  /// are live; both with or without this VM. \p Gone are VMs that neither vote
  /// nor claim any more.
  void update(std::set<std::string> Known, const std::set<std::string> &Live,
              const std::set<std::string> &Gone = {});
  /// Returns the VMs that were left out because they are silent, and have
  /// neither been heard of nor gone since.
  const std::set<std::string> &absent() const { return Absent; }
  /// Returns the number of VMs of the failure domain; 0 before update().
  std::size_t domainSize() const { return Members.size(); }
  /// Returns the VMs that vote on the issuer of \p Partition, by the order in
  /// which they become issuer.
  const std::vector<std::string> &votersOf(unsigned Partition) const {
    return Voters.at(Partition);
  }
  /// Returns the number of votes of votersOf(\p Partition) that a claim needs.
  std::size_t votesNeeded(unsigned Partition) const;
  /// Returns the number that a claim with the store's vote needs, which breaks
  /// the tie between two VMs. Empty in larger domains: one half of them may
  /// have left out VMs that then meet the other half, and be a majority by
  /// itself.
  std::optional<std::size_t> votesNeededWithWitness() const;
  /// Returns the number of \p Live VMs that vote, and this one.
  std::size_t countMembers(const std::set<std::string> &Live) const;
  /// Returns the number of votes that \p Voters have to give: at least half of
  /// them and one more, so that two issuers cannot be chosen even if one VM
  /// votes twice, because a copy of it runs, or if two VMs' lists differ by
  /// one. Up to three VMs this would be all, so there a majority is enough.
  static std::size_t majorityOf(std::size_t Voters);

private:
  /// Returns whether the domain has two VMs, also if one of them was left out.
  bool isOfTwo() const { return Members.size() + Absent.size() == 2; }
  /// Returns whether \p Silent may be left out, so that \p Known remain.
  bool mayLeaveOut(const std::set<std::string> &Silent,
                   const std::set<std::string> &Known,
                   const std::set<std::string> &Live,
                   const std::set<std::string> &Gone) const;
  void setMembers(std::set<std::string> Next);

  std::string OwnVm;
  std::set<std::string> Members;
  std::set<std::string> Absent;
  std::array<std::vector<std::string>, QuotaPartitions> Voters;
};

} // namespace cicadawind

#endif
