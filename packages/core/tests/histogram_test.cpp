/// \file
/// Counters and histograms in the form that monitoring reads.

#include "masticproxy/Base"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Test(histogram, counts_each_span_in_all_buckets_above_it) {
  histogram Spans;
  Spans.add(microseconds(400));
  Spans.add(milliseconds(1));
  Spans.add(milliseconds(45));
  Spans.add(std::chrono::hours(1));
  std::string Text = Spans.prometheusText("a", "b=\"c\"");
  auto Has = [&](const char *Line) { return Text.find(Line) != Text.npos; };
  cr_assert(Has("a_bucket{b=\"c\",le=\"0.001\"} 2\n"));
  cr_assert(Has("a_bucket{b=\"c\",le=\"0.04\"} 2\n"));
  cr_assert(Has("a_bucket{b=\"c\",le=\"0.06\"} 3\n"));
  cr_assert(Has("a_bucket{b=\"c\",le=\"2\"} 3\n"));
  cr_assert(Has("a_bucket{b=\"c\",le=\"+Inf\"} 4\n"));
  cr_assert(Has("a_count{b=\"c\"} 4\n"));
  cr_assert(Has("a_sum{b=\"c\"} 3600.05\n"));
  cr_assert(Spans.count() == 4);
}

Test(histogram, of_the_registry_is_one_for_each_name_and_labels) {
  counter_registry Counters;
  Counters.get("asked_total").add(3);
  Counters.spans("took_seconds").add(milliseconds(3));
  Counters.spans("took_seconds").add(milliseconds(3));
  Counters.spans("took_seconds", "k=\"v\"").add(milliseconds(3));
  std::string Text = Counters.prometheusText();
  cr_assert(Text.find("masticproxy_asked_total 3\n") != Text.npos);
  cr_assert(Text.find("masticproxy_took_seconds_count 2\n") != Text.npos);
  cr_assert(Text.find("masticproxy_took_seconds_count{k=\"v\"} 1\n") !=
            Text.npos);
}

Test(ascii_case, lowers_ascii_letters_only) {
  cr_assert(lowerCase("Content-LENGTH \xc3\x84") == "content-length \xc3\x84");
}
