#include "masticproxy/src/Cluster/configuration_table.h"

#include <algorithm>

using namespace masticproxy;

bool configuration_table::apply(configuration_record Record) {
  configuration_record &Held = Records[{Record.Kind, Record.Name}];
  if (Record.Version <= Held.Version)
    return false;
  Held = std::move(Record);
  return true;
}

void configuration_table::completeUpTo(std::uint64_t NewRevision) {
  Revision = std::max(Revision, NewRevision);
}

std::vector<configuration_record>
configuration_table::recordsAfter(std::uint64_t After) const {
  std::vector<configuration_record> Newer;
  for (const auto &[Key, Record] : Records)
    if (Record.Version > After)
      Newer.push_back(Record);
  std::sort(Newer.begin(), Newer.end(),
            [](const configuration_record &A, const configuration_record &B) {
              return A.Version < B.Version;
            });
  return Newer;
}
