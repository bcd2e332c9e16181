#ifndef MASTICPROXY_CLUSTER_CONFIGURATION_TABLE_H
#define MASTICPROXY_CLUSTER_CONFIGURATION_TABLE_H

#include "masticproxy/src/Cluster/configuration_record.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticproxy {

/// \brief The configuration that a VM has taken over; versions only grow.
class configuration_table {
public:
  /// Takes \p Record over if it is newer than what is held under its kind and
  /// name, deletions included. \returns whether it was.
  bool apply(configuration_record Record);

  /// Notes that everything up to \p Revision was received.
  void completeUpTo(std::uint64_t Revision);

  /// \returns the revision up to which the table is complete.
  std::uint64_t revision() const { return Revision; }

  /// \returns the records with a version above \p After, oldest first.
  std::vector<configuration_record> recordsAfter(std::uint64_t After) const;

  /// \returns all records, deletions included, by kind and name.
  const std::map<std::pair<std::string, std::string>, configuration_record> &
  records() const {
    return Records;
  }

private:
  std::map<std::pair<std::string, std::string>, configuration_record> Records;
  std::uint64_t Revision = 0;
};

} // namespace masticproxy

#endif
