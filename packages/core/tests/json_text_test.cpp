/// \file
/// JSON texts taken apart by their punctuation, also those that no writer of
/// good will sends.

#include "masticproxy/src/Base/json_text.h"

#include <criterion/criterion.h>

#include <string>

using namespace masticproxy;

Test(json_text, finds_members_and_elements) {
  constexpr std::string_view Text =
      R"({ "a" : [1, {"b":"]}"}, "x\"," ] , "c":null,"d":{} })";
  cr_assert(jsonMember(Text, "a") == R"([1, {"b":"]}"}, "x\"," ])");
  cr_assert(jsonMember(Text, "c") == "null");
  cr_assert(jsonMember(Text, "d") == "{}");
  cr_assert(not jsonMember(Text, "b"));
  auto Elements = jsonElements(*jsonMember(Text, "a"));
  cr_assert(Elements && Elements->size() == 3);
  cr_assert(Elements->at(1) == R"({"b":"]}"})");
  cr_assert(Elements->at(2) == R"("x\",")");
  cr_assert(jsonElements(" [ ] ")->empty());
}

Test(json_text, refuses_what_is_cut_short) {
  constexpr std::string_view Whole = R"({"a":[1,"\\",{"b":2}]})";
  for (std::size_t Length = 0; Length < Whole.size(); ++Length)
    cr_assert(not jsonMember(Whole.substr(0, Length), "c"));
  constexpr std::string_view Array = R"([1,"\\",{"b":2}])";
  for (std::size_t Length = 0; Length < Array.size(); ++Length)
    cr_assert(not jsonElements(Array.substr(0, Length)), "%zu", Length);
  cr_assert(not jsonElements("[1] 2"));
  cr_assert(not jsonElements("[1,]"));
}

Test(json_text, keeps_an_odd_element_apart_from_the_others) {
  std::string Deep(200000, '[');
  std::string Text =
      "[1," + Deep + std::string(200000, ']') + ",1e999,\"\xff\",{\"a\"}]";
  auto Elements = jsonElements(Text);
  cr_assert(Elements && Elements->size() == 5);
  cr_assert(jsonDepth(Elements->at(1)) == 200000);
  cr_assert(Elements->at(2) == "1e999");
  cr_assert(Elements->at(4) == "{\"a\"}");
}

Test(json_text, counts_how_deep_it_is) {
  cr_assert(jsonDepth("1") == 0);
  cr_assert(jsonDepth("[{},[1]]") == 2);
  cr_assert(jsonDepth("[\"[[[\"]") == 1);
}
