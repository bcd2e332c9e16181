#include "masticproxy/src/Net/byte_budget.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

bool byte_budget::take(holder &Holder, std::size_t Bytes) {
  while (Bytes > Limit - Taken) {
    holder *Largest = largest();
    if (!Largest || Largest->Bytes <= Holder.Bytes + Bytes)
      return false;
    // It may go with its connection.
    auto End = Largest->End;
    End();
  }
  Taken += Bytes;
  Holder.Bytes += Bytes;
  Holders.insert(&Holder);
  return true;
}

void byte_budget::giveBack(holder &Holder) {
  Taken -= std::exchange(Holder.Bytes, 0);
  Holders.erase(&Holder);
}

byte_budget::holder *byte_budget::largest() const {
  auto Found = std::max_element(
      Holders.begin(), Holders.end(),
      [](const holder *A, const holder *B) { return A->Bytes < B->Bytes; });
  return Found == Holders.end() ? nullptr : *Found;
}
