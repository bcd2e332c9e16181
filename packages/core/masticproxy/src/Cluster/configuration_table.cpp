#include "masticproxy/src/Cluster/configuration_table.h"

#include "masticproxy/src/Cluster/configuration_push.h"
#include "masticproxy/src/Cluster/rendezvous.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// The part of the table's digest that one record makes.
std::uint64_t digestOf(const configuration_record &Record) {
  if (Record.Version == 0)
    return 0;
  std::string Key = Record.Kind + '/' + Record.Name;
  return rendezvousWeight(Key, std::to_string(Record.Version));
}

std::size_t bytesOf(const configuration_record &Record) {
  return Record.Kind.size() + Record.Name.size() + Record.Value.size();
}

} // namespace

bool configuration_table::apply(configuration_record Record) {
  // Version 0 is no write of the platform.
  if (Record.Version == 0)
    return false;
  configuration_record &Held = Records[{Record.Kind, Record.Name}];
  if (Record.Version <= Held.Version)
    return false;
  // Parts are joined by exclusive or, so that one can be exchanged alone.
  Digest ^= digestOf(Held) ^ digestOf(Record);
  Held = std::move(Record);
  return true;
}

std::vector<configuration_record>
configuration_table::apply(const configuration_push &Push) {
  std::vector<configuration_record> Taken;
  for (const configuration_record &Record : Push.Records)
    if (apply(Record))
      Taken.push_back(Record);
  completeUpTo(Push.AfterRevision, Push.Revision);
  return Taken;
}

void configuration_table::completeUpTo(std::uint64_t After,
                                       std::uint64_t NewRevision) {
  // A message before this one may have been lost.
  if (After > Revision)
    return;
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

std::vector<configuration_push>
configuration_table::makePushes(std::uint64_t After,
                                std::size_t MaxBytes) const {
  std::vector<configuration_push> Pushes;
  configuration_push Push;
  Push.AfterRevision = After;
  std::size_t Bytes = 0;
  for (configuration_record &Record : recordsAfter(After)) {
    std::size_t More = bytesOf(Record);
    if (!Push.Records.empty() && Bytes + More > MaxBytes) {
      // Records are in the order of their versions, so each part is complete
      // up to its last one; no part may claim more than this table does.
      Push.Revision = std::min(Push.Records.back().Version, Revision);
      std::uint64_t Next = Push.Revision;
      Pushes.push_back(std::exchange(Push, {}));
      Push.AfterRevision = Next;
      Bytes = 0;
    }
    Bytes += More;
    Push.Records.push_back(std::move(Record));
  }
  Push.Revision = Revision;
  Pushes.push_back(std::move(Push));
  return Pushes;
}
