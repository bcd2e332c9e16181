#include "masticproxy/src/Base/histogram.h"

#include <algorithm>
#include <cstdio>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

std::string secondsText(std::chrono::duration<double> Span) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.6g", Span.count());
  return Text;
}

std::string inBraces(std::string_view Labels) {
  return Labels.empty() ? "" : "{" + std::string(Labels) + "}";
}

} // namespace

const std::array<milliseconds, histogram::Edges> histogram::UpperEdges = {
    milliseconds(1),    milliseconds(2),   milliseconds(5),   milliseconds(10),
    milliseconds(20),   milliseconds(40),  milliseconds(60),  milliseconds(100),
    milliseconds(150),  milliseconds(200), milliseconds(300), milliseconds(500),
    milliseconds(1000), milliseconds(2000)};

void histogram::add(duration Span) noexcept {
  auto Found = std::lower_bound(UpperEdges.begin(), UpperEdges.end(), Span);
  auto Bucket = static_cast<std::size_t>(Found - UpperEdges.begin());
  Counts[Bucket].fetch_add(1, std::memory_order_relaxed);
  auto Rounded = std::chrono::duration_cast<std::chrono::microseconds>(Span);
  SumMicroseconds.fetch_add(Rounded.count(), std::memory_order_relaxed);
}

std::uint64_t histogram::count() const noexcept {
  std::uint64_t All = 0;
  for (const auto &Count : Counts)
    All += Count.load(std::memory_order_relaxed);
  return All;
}

std::string histogram::prometheusText(std::string_view Name,
                                      std::string_view Labels) const {
  std::string Key(Name);
  std::string Before = Labels.empty() ? "" : std::string(Labels) + ",";
  std::string Text;
  std::uint64_t Below = 0;
  for (std::size_t I = 0; I <= Edges; ++I) {
    Below += Counts[I].load(std::memory_order_relaxed);
    std::string Edge = I < Edges ? secondsText(UpperEdges[I]) : "+Inf";
    Text.append(Key).append("_bucket{").append(Before);
    Text.append("le=\"").append(Edge).append("\"} ");
    Text.append(std::to_string(Below)).append("\n");
  }
  std::string After = inBraces(Labels) + " ";
  std::chrono::microseconds Sum(SumMicroseconds.load());
  Text.append(Key).append("_sum").append(After);
  Text.append(secondsText(Sum)).append("\n");
  Text.append(Key).append("_count").append(After);
  Text.append(std::to_string(Below)).append("\n");
  return Text;
}
