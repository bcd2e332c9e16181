#include "masticproxy/src/Net/connection_memory.h"

#include <utility>

using namespace masticproxy;

bool connection_memory::take(std::size_t Bytes, time Now,
                             const std::optional<wait_position> &Own) {
  makeRoom(Bytes, Now, Own);
  if (!hasRoom(Bytes))
    return false;
  Taken += Bytes;
  return true;
}

void connection_memory::takeAnyway(std::size_t Bytes, time Now) {
  makeRoom(Bytes, Now, std::nullopt);
  Taken += Bytes;
}

connection_memory::wait_position
connection_memory::beginWait(time Now, std::function<void()> Close) {
  return Waits.insert(Waits.end(), {Now, std::move(Close)});
}

void connection_memory::makeRoom(std::size_t Bytes, time Now,
                                 const std::optional<wait_position> &Own) {
  auto Next = Waits.begin();
  while (!hasRoom(Bytes) && Next != Waits.end()) {
    auto Longest = Next++;
    if (Now - Longest->Since < ShortestWait)
      return;
    if (Own && Longest == *Own)
      continue;
    // It ends its wait itself.
    auto Close = Longest->Close;
    Close();
    if (Closed)
      Closed();
  }
}
