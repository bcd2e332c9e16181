/// \file
/// The fan-out of one request, as text and as a picture.

#include "masticproxy/Ctl"

#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>
#include <criterion/criterion.h>

#include <sstream>

using namespace masticproxy;

namespace {

namespace tree = boost::property_tree;

vm_event event(std::int64_t Time, const std::string &Kind, event_facts Facts) {
  vm_event Event;
  Event.At = {Time, 0};
  Event.Vm = "vm";
  Event.Kind = Kind;
  Event.RequestId = "r";
  Event.Detail = "answered";
  Event.Facts = std::move(Facts);
  return Event;
}

/// A hedged shard, a retried one, one that is still out, and one whose
/// beginning gave way.
std::vector<vm_event> events() {
  return {
      event(1000, "query_arrived", {}),
      event(1000, "attempt_sent", {1, "s0", "u0", "first", "", ""}),
      event(1500, "attempt_sent", {2, "s1", "u1", "first", "", ""}),
      event(2000, "attempt_failed", {2, "s1", "u1", "first", "refused", ""}),
      event(2500, "attempt_sent", {3, "s1", "u2", "retry", "", ""}),
      event(3000, "attempt_sent", {4, "s0", "u3", "hedge", "", ""}),
      event(4000, "attempt_answered", {4, "s0", "u3", "hedge", "answered", ""}),
      event(4000, "attempt_cancelled",
            {1, "s0", "u0", "first", "cancelled", ""}),
      event(4500, "attempt_answered", {9, "s2", "u4", "first", "answered", ""}),
      event(5000, "outcome", {})};
}

tree::ptree parse(const std::string &Svg) {
  std::istringstream In(Svg);
  tree::ptree Root;
  tree::read_xml(In, Root);
  return Root;
}

/// \returns all that the picture says, a space before each.
std::string textsOf(const tree::ptree &Root) {
  std::string All;
  for (const auto &[Name, Child] : Root)
    All += Name == "text" ? " " + Child.data() : textsOf(Child);
  return All;
}

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

Test(fan_outs, have_a_span_for_each_attempt_in_order) {
  fan_out Request = toFanOut(events());
  cr_assert(Request.RequestId == "r" && Request.Outcome == "answered");
  cr_assert(Request.Length == 4000 && Request.Attempts.size() == 5);
  const attempt_span &First = Request.Attempts[0];
  cr_assert(First.Begin == 0 && First.End == 3000 && First.Kind == "first" &&
            First.Ending == "cancelled" && First.Upstream == "u0");
  cr_assert(Request.Attempts[1].Ending == "refused");
  const attempt_span &Open = Request.Attempts[2];
  cr_assert(Open.Begin == 1500 && !Open.End && Open.Ending == "open");
  cr_assert(Request.Attempts[3].Kind == "hedge");
  const attempt_span &Cut = Request.Attempts[4];
  cr_assert(!Cut.Begin && Cut.End == 3500 && Cut.Shard == "s2");
}

Test(fan_outs, keep_the_attempts_of_two_vms_apart) {
  std::vector<vm_event> Both{
      event(1, "relay_sent", {1, "s0", "vm-b", "relay", "", ""}),
      event(2, "attempt_sent", {1, "s0", "u", "first", "", ""})};
  Both[1].Vm = "vm-b";
  cr_assert(toFanOut(Both).Attempts.size() == 2);
  cr_assert(toFanOut({}).Attempts.empty());
}

Test(waterfalls, are_a_line_for_each_attempt) {
  fan_out Request = toFanOut(events());
  Request.Unreached = {"x:1", "y:2"};
  std::string Expected =
      "request r: 5 attempts, outcome answered, 4.000 ms\n"
      "begin ms  end ms  vm  shard  kind   upstream  ended      \n"
      "   0.000   3.000  vm  s0     first  u0        cancelled  "
      "|===============================         |\n"
      "   0.500   1.000  vm  s1     first  u1        refused    "
      "|     ======                             |\n"
      "   1.500       ?  vm  s1     retry  u2        open       "
      "|               ========================>|\n"
      "   2.000   3.000  vm  s0     hedge  u3        answered   "
      "|                    ===========         |\n"
      "       ?   3.500  vm  s2     first  u4        answered   "
      "|?===================================    |\n"
      "attempts may be missing, no events from: x:1 y:2\n";
  std::string Text = waterfallText(Request);
  cr_assert(Text == Expected, "%s", Text.c_str());
}

Test(waterfalls, of_no_length_do_not_divide_by_it) {
  std::vector<vm_event> One{event(1, "attempt_sent", {1, "s", "u", "first"})};
  cr_assert(has(waterfallText(toFanOut(One)), "|="));
  cr_assert(!parse(waterfallSvg(toFanOut(One))).empty());
}

Test(pictures, are_well_formed_and_say_all) {
  fan_out Request = toFanOut(events());
  Request.Unreached = {"x:1"};
  std::string Svg = waterfallSvg(Request);
  std::string Said = textsOf(parse(Svg));
  for (const char *Part :
       {" request r: 5 attempts", " no events from: x:1", " s0", " hedge",
        " retry", " u3", " refused", " cancelled", " open", " 4.000"})
    cr_assert(has(Said, std::string(Part).substr(1)), "%s", Part);
  // Self-contained: nothing is fetched or run.
  for (const char *Part : {"href", "<script", "<image", "url("})
    cr_assert(!has(Svg, Part), "%s", Part);
}

Test(pictures, escape_every_text) {
  const std::string Nasty = "<a b='c' d=\"e\">&]]>";
  fan_out Request = toFanOut(events());
  Request.RequestId = Request.Outcome = Nasty;
  Request.Unreached = {Nasty + "\x01\xff"};
  for (attempt_span &Span : Request.Attempts)
    Span.Vm = Span.Shard = Span.Upstream = Span.Kind = Span.Ending = Nasty;
  std::string Svg = waterfallSvg(Request);
  cr_assert(!has(Svg, "<a b") && !has(Svg, "'c'") && !has(Svg, "\x01") &&
            !has(Svg, "\xff"));
  cr_assert(has(textsOf(parse(Svg)), "request " + Nasty));
  cr_assert(xmlEscaped("a<b>&\"'\t\x02") == "a&lt;b&gt;&amp;&quot;&#39;??");
}

Test(pictures, never_cut_a_character) {
  fan_out Request = toFanOut(events());
  // Two bytes each, so that one of the two cuts falls within a character.
  for (const char *Start : {"", "x"}) {
    std::string Long = Start;
    for (int I = 0; I < 40; ++I)
      Long += "\xc3\xa9";
    Request.Attempts[0].Shard = Request.Attempts[0].Upstream = Long;
    cr_assert(!has(waterfallSvg(Request), "\xef\xbf\xbd"));
  }
}
