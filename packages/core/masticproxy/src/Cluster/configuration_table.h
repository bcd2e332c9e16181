#ifndef MASTICPROXY_CLUSTER_CONFIGURATION_TABLE_H
#define MASTICPROXY_CLUSTER_CONFIGURATION_TABLE_H

#include "masticproxy/src/Cluster/configuration_record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticproxy {

struct configuration_push;

/// \brief The configuration that a VM has taken over; versions only grow.
class configuration_table {
public:
  /// Takes \p Record over if it is newer than what is held under its kind and
  /// name, deletions included. \returns whether it was.
  bool apply(configuration_record Record);

  /// Takes all newer records of \p Push over. \returns those taken.
  std::vector<configuration_record> apply(const configuration_push &Push);

  /// Notes that everything after \p After and up to \p Revision was received;
  /// without effect where something before \p After is missing.
  void completeUpTo(std::uint64_t After, std::uint64_t Revision);

  /// \returns the revision up to which the table is complete.
  std::uint64_t revision() const { return Revision; }

  /// \returns a hash of the names and versions held, equal on two VMs that
  /// hold the same.
  std::uint64_t digest() const { return Digest; }

  /// \returns the records with a version above \p After, oldest first.
  std::vector<configuration_record> recordsAfter(std::uint64_t After) const;

  /// \returns what a VM that is complete up to \p After lacks, in messages of
  /// about \p MaxBytes at most; one with no record where it lacks nothing.
  std::vector<configuration_push> makePushes(std::uint64_t After,
                                             std::size_t MaxBytes) const;

  /// \returns all records, deletions included, by kind and name.
  const std::map<std::pair<std::string, std::string>, configuration_record> &
  records() const {
    return Records;
  }

private:
  std::map<std::pair<std::string, std::string>, configuration_record> Records;
  std::uint64_t Revision = 0;
  std::uint64_t Digest = 0;
};

} // namespace masticproxy

#endif
