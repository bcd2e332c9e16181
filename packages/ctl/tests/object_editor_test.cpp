/// \file
/// Edits of two operators over a platform that loses answers and reads old
/// states: none is made twice, none is lost unseen.

#include "masticproxy/Ctl"
#include "masticproxy/Net"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>

using namespace masticproxy;

namespace {

constexpr const char *Base = "wait = \"1s\"\n";

enum class fault { None, LostBefore, LostAfter, OtherFirst, OtherLast, Delete };

/// \brief One object, with every state it had, and faults in the order of the
/// calls.
class fake_platform : public platform_api {
public:
  std::deque<fault> Faults;
  std::vector<platform_object> History;

  void other(bool Deleted) {
    add("wait = \"9s\"\n# edit other-" + std::to_string(History.size()) + "\n",
        Deleted);
  }

  void add(std::string Value, bool Deleted) {
    History.push_back({"profile", "p", History.size() + 1, Deleted,
                       Deleted ? "" : std::move(Value)});
  }

  std::uint64_t version() const {
    bool Exists = !History.empty() && !History.back().Deleted;
    return Exists ? History.back().Version : 0;
  }

  std::size_t writesWith(const std::string &Mark) const {
    return static_cast<std::size_t>(std::count_if(
        History.begin(), History.end(), [&](const platform_object &Object) {
          return Object.Value.find(Mark) != std::string::npos;
        }));
  }

  platform_read_result get(std::string_view, std::string_view) override {
    fault Fault = next();
    if (Fault == fault::LostBefore)
      return platform_unavailable{"lost"};
    std::size_t Age = Fault == fault::LostAfter ? 2 : 1;
    if (History.size() < Age || History[History.size() - Age].Deleted)
      return platform_missing{};
    return History[History.size() - Age];
  }

  platform_write_result put(std::string_view, std::string_view,
                            std::uint64_t IfVersion,
                            std::string_view Value) override {
    return write(IfVersion, std::string(Value), false);
  }

  platform_write_result remove(std::string_view, std::string_view,
                               std::uint64_t IfVersion) override {
    return write(IfVersion, {}, true);
  }

  platform_changes_result list(std::string_view) override {
    return platform_unavailable{};
  }
  platform_changes_result watch(std::uint64_t,
                                std::chrono::milliseconds) override {
    return platform_unavailable{};
  }
  platform_vms_result listVms() override { return platform_unavailable{}; }

private:
  fault next() {
    if (Faults.empty())
      return fault::None;
    fault Fault = Faults.front();
    Faults.pop_front();
    return Fault;
  }

  platform_write_result write(std::uint64_t IfVersion, std::string Value,
                              bool Deleted) {
    fault Fault = next();
    if (Fault == fault::LostBefore)
      return platform_unavailable{"lost"};
    if (Fault == fault::OtherFirst)
      other(false);
    platform_write_result Result = platform_conflict{};
    if (IfVersion == version() && !(Deleted && version() == 0)) {
      add(std::move(Value), Deleted);
      Result = History.back();
    } else if (version() > 0) {
      Result = platform_conflict{History.back()};
    }
    if (Fault == fault::OtherLast || Fault == fault::Delete)
      other(Fault == fault::Delete);
    bool Lost = Fault == fault::LostAfter || Fault == fault::OtherLast ||
                Fault == fault::Delete;
    return Lost ? platform_write_result(platform_unavailable{"lost"}) : Result;
  }
};

/// Writes again with a version that was read again: the broken variant.
edit_result applyNaively(platform_api &Platform, std::string_view Text,
                         std::string_view EditId) {
  for (unsigned Try = 0; Try < 3; ++Try) {
    platform_read_result Read = Platform.get("profile", "p");
    auto *Object = std::get_if<platform_object>(&Read);
    platform_write_result Written =
        Platform.put("profile", "p", Object ? Object->Version : 0,
                     markEdit("profile", Text, EditId));
    if (auto *Done = std::get_if<platform_object>(&Written))
      return edit_applied{Done->Version, false};
  }
  return edit_unknown{"no answer"};
}

template <typename Apply> bool editProperty(Apply Edit) {
  return rc::check([=] {
    fake_platform Platform;
    auto Earlier = *rc::gen::inRange(0, 4);
    for (int I = 0; I < Earlier; ++I)
      Platform.other(*rc::gen::arbitrary<bool>());
    auto Faults = *rc::gen::container<std::vector<fault>>(
        8,
        rc::gen::element(fault::None, fault::LostBefore, fault::LostAfter,
                         fault::OtherFirst, fault::OtherLast, fault::Delete));
    Platform.Faults.assign(Faults.begin(), Faults.end());
    edit_result Result = Edit(Platform);
    std::size_t Writes = Platform.writesWith("# edit mine");
    RC_ASSERT(Writes <= 1);
    if (std::holds_alternative<edit_applied>(Result))
      RC_ASSERT(Writes == 1);
    if (std::holds_alternative<edit_conflict>(Result) ||
        std::holds_alternative<edit_not_made>(Result))
      RC_ASSERT(Writes == 0);
  });
}

} // namespace

Test(object_editor, makes_no_edit_twice_and_says_what_became_of_it) {
  cr_assert(editProperty([](platform_api &Platform) {
    return object_editor(Platform).apply("profile", "p", Base, "mine",
                                         std::nullopt);
  }));
}

Test(object_editor, writing_again_with_a_new_version_is_caught) {
  cr_assert(not editProperty([](platform_api &Platform) {
    return applyNaively(Platform, Base, "mine");
  }));
}

Test(object_editor, writes_over_nothing_that_the_operator_has_not_seen) {
  cr_assert(rc::check([] {
    fake_platform Platform;
    Platform.add(Base, false);
    auto Others = *rc::gen::inRange(0, 3);
    for (int I = 0; I < Others; ++I)
      Platform.other(*rc::gen::arbitrary<bool>());
    // The first line is what `get` printed before the others wrote.
    std::string Text = std::string("# version 1\n") + Base;
    edit_result Result = object_editor(Platform).apply(
        "profile", "p", Text, "mine", baseVersionIn(Text));
    RC_ASSERT(std::holds_alternative<edit_applied>(Result) == (Others == 0));
    RC_ASSERT(Platform.writesWith("# edit mine") == (Others == 0 ? 1U : 0U));
    RC_ASSERT(Platform.writesWith("# version") == 0U);
  }));
}

Test(object_editor, deletes_once_and_never_a_later_object) {
  cr_assert(rc::check([] {
    fake_platform Platform;
    Platform.add(Base, false);
    auto Faults = *rc::gen::container<std::vector<fault>>(
        4, rc::gen::element(fault::None, fault::LostBefore, fault::LostAfter,
                            fault::OtherFirst, fault::OtherLast));
    Platform.Faults.assign(Faults.begin(), Faults.end());
    edit_result Result = object_editor(Platform).remove("profile", "p", 1);
    for (std::size_t I = 1; I < Platform.History.size(); ++I)
      if (Platform.History[I].Deleted)
        RC_ASSERT(I == 1U);
    if (std::holds_alternative<edit_applied>(Result))
      RC_ASSERT(Platform.History[1].Deleted);
  }));
}

Test(object_editor, a_conflict_names_the_fields_that_the_other_changed) {
  platform_object Before{"profile", "p", 3, false, Base};
  platform_object Now{"profile", "p", 4, false,
                      "wait = \"1s\"\ncoverage = 0.9\n"};
  std::string Text = conflictText("wait = \"2s\"\n", Now, Before);
  cr_assert(Text.find("What the other changed:\n"
                      "  coverage: before 1, now 0.9\n"
                      "What differs from yours:\n"
                      "  wait: yours 2000ms, now 1000ms\n"
                      "  coverage: yours 1, now 0.9\n") != std::string::npos);
  cr_assert(Text.find("--if-version 4") != std::string::npos);
}
