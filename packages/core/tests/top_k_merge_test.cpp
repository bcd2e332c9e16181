/// \file
/// Compares mergeTopK() with a full sort of all records.

#include "masticproxy/Query"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace masticproxy;

namespace {

/// Draws from few different bytes, so that equal records are common. A byte
/// above 127 shows whether bytes are compared as unsigned.
std::string drawBody() {
  std::string Body;
  int Bytes = *rc::gen::inRange(0, 200);
  for (int I = 0; I < Bytes; ++I)
    Body.push_back(*rc::gen::element('\x00', '\x01', '\xff'));
  return Body;
}

std::string mergeNaively(const std::vector<std::string> &Bodies,
                         std::size_t Count) {
  std::vector<std::vector<unsigned char>> Records;
  for (const std::string &Body : Bodies)
    for (std::size_t At = 0; At + RecordBytes <= Body.size(); At += RecordBytes)
      Records.emplace_back(Body.begin() + static_cast<std::ptrdiff_t>(At),
                           Body.begin() +
                               static_cast<std::ptrdiff_t>(At + RecordBytes));
  std::sort(Records.begin(), Records.end(), std::greater<>());
  std::string Merged;
  for (std::size_t I = 0; I < std::min(Count, Records.size()); ++I)
    Merged.append(Records[I].begin(), Records[I].end());
  return Merged;
}

} // namespace

Test(top_k_merge, matches_a_full_sort) {
  cr_assert(rc::check([] {
    std::vector<std::string> Bodies;
    Bodies.reserve(6);
    int Count = *rc::gen::inRange(0, 6);
    for (int I = 0; I < Count; ++I)
      Bodies.push_back(drawBody());
    std::vector<std::string_view> Views(Bodies.begin(), Bodies.end());
    auto Wanted = static_cast<std::size_t>(*rc::gen::inRange(0, 40));
    RC_ASSERT(mergeTopK(Views, Wanted) == mergeNaively(Bodies, Wanted));
  }));
}
