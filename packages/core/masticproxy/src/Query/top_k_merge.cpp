#include "masticproxy/src/Query/top_k_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

using namespace masticproxy;

std::string masticproxy::mergeTopK(std::span<const std::string_view> Bodies,
                                   std::size_t Count) {
  // std::char_traits, and so std::string_view, compares unsigned bytes.
  std::vector<std::string_view> Records;
  for (std::string_view Body : Bodies)
    for (std::size_t At = 0; At + RecordBytes <= Body.size(); At += RecordBytes)
      Records.push_back(Body.substr(At, RecordBytes));
  std::size_t Kept = std::min(Count, Records.size());
  std::partial_sort(Records.begin(),
                    Records.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Records.end(), std::greater<>());
  std::string Merged;
  Merged.reserve(Kept * RecordBytes);
  for (std::size_t I = 0; I < Kept; ++I)
    Merged += Records[I];
  return Merged;
}
