#include "masticproxy/src/Ctl/object_editor.h"

#include <charconv>

using namespace masticproxy;

namespace {

constexpr unsigned WriteRetries = 2;
constexpr unsigned ReadBackTries = 3;
constexpr std::string_view MarkPrefix = "# edit ";

/// What stands there after an unanswered write, as a read would have said it.
platform_read_result asRead(const platform_conflict &Conflict) {
  if (Conflict.Current)
    return *Conflict.Current;
  return platform_missing{};
}

edit_applied foundApplied(const platform_read_result &Read) {
  const auto *Object = std::get_if<platform_object>(&Read);
  return {Object ? Object->Version : 0, true};
}

// The two below are assigned, not constructed: GCC 12 takes the members of an
// empty optional for read uninitialized where a result is built in place.

/// The outcome of a write that may have taken effect.
edit_result unknownEdit(const std::string &Reason) {
  edit_result Result(std::in_place_type<edit_unknown>);
  std::get<edit_unknown>(Result).Reason = Reason;
  return Result;
}

/// The outcome of a write that found \p Current, without a read before it.
edit_result conflictWith(const std::optional<platform_object> &Current) {
  edit_result Result(std::in_place_type<edit_conflict>);
  std::get<edit_conflict>(Result).Current = Current;
  return Result;
}

} // namespace

edit_result object_editor::apply(std::string_view Kind, std::string_view Name,
                                 std::string_view Text, std::string_view EditId,
                                 std::optional<std::uint64_t> IfVersion) {
  std::string Marked = markEdit(Kind, Text, EditId);
  if (Marked.size() > MaxObjectValueBytes)
    return edit_too_long{Marked.size()};
  std::uint64_t Expected = IfVersion.value_or(0);
  std::optional<platform_object> Before;
  if (!IfVersion) {
    platform_read_result Read = Platform.get(Kind, Name);
    if (auto *Failure = std::get_if<platform_unavailable>(&Read))
      return edit_not_made{Failure->Reason};
    if (auto *Object = std::get_if<platform_object>(&Read)) {
      Expected = Object->Version;
      Before = *Object;
    }
  }
  auto Write = [&] { return Platform.put(Kind, Name, Expected, Marked); };
  is_own IsOwn = [&](const platform_read_result &Read) {
    auto *Object = std::get_if<platform_object>(&Read);
    return Object && Object->Value == Marked && Object->Version > Expected;
  };

  platform_write_result First = Write();
  if (auto *Object = std::get_if<platform_object>(&First))
    return edit_applied{Object->Version, false};
  if (auto *Conflict = std::get_if<platform_conflict>(&First))
    return edit_conflict{Conflict->Current, Before};
  std::string Reason = std::get<platform_unavailable>(First).Reason;
  // A version never comes again, so that a second try can't write twice. An
  // object that was created and deleted can be created again: only reading
  // tells there.
  if (Expected == 0)
    return readBack(Kind, Name, IsOwn, Reason);
  platform_write_result Again = retry(Write);
  if (auto *Object = std::get_if<platform_object>(&Again))
    return edit_applied{Object->Version, false};
  if (auto *Conflict = std::get_if<platform_conflict>(&Again)) {
    if (IsOwn(asRead(*Conflict)))
      return foundApplied(asRead(*Conflict));
    return edit_unknown{Reason, Conflict->Current};
  }
  return readBack(Kind, Name, IsOwn, Reason);
}

edit_result object_editor::remove(std::string_view Kind, std::string_view Name,
                                  std::optional<std::uint64_t> IfVersion) {
  std::uint64_t Expected = IfVersion.value_or(0);
  if (!IfVersion) {
    platform_read_result Read = Platform.get(Kind, Name);
    if (auto *Failure = std::get_if<platform_unavailable>(&Read))
      return edit_not_made{Failure->Reason};
    auto *Object = std::get_if<platform_object>(&Read);
    if (!Object)
      return edit_missing{};
    Expected = Object->Version;
  }
  auto Write = [&] { return Platform.remove(Kind, Name, Expected); };
  platform_write_result First = Write();
  if (auto *Object = std::get_if<platform_object>(&First))
    return edit_applied{Object->Version, false};
  if (auto *Conflict = std::get_if<platform_conflict>(&First))
    return conflictWith(Conflict->Current);
  std::string Reason = std::get<platform_unavailable>(First).Reason;
  platform_write_result Again = retry(Write);
  if (auto *Object = std::get_if<platform_object>(&Again))
    return edit_applied{Object->Version, false};
  auto *Conflict = std::get_if<platform_conflict>(&Again);
  // Gone is what was wanted, whoever did it.
  if (Conflict && !Conflict->Current)
    return edit_applied{0, true};
  if (Conflict)
    return edit_unknown{Reason, Conflict->Current};
  return unknownEdit(Reason);
}

platform_write_result object_editor::retry(const attempt &Attempt) {
  platform_write_result Result = Attempt();
  for (unsigned Try = 1; Try < WriteRetries; ++Try)
    if (std::holds_alternative<platform_unavailable>(Result))
      Result = Attempt();
  return Result;
}

edit_result object_editor::readBack(std::string_view Kind,
                                    std::string_view Name, const is_own &IsOwn,
                                    const std::string &Reason) {
  for (unsigned Try = 0; Try < ReadBackTries; ++Try) {
    platform_read_result Read = Platform.get(Kind, Name);
    if (IsOwn(Read))
      return foundApplied(Read);
  }
  // The write may still arrive, or another edit may have followed it.
  return unknownEdit(Reason);
}

std::string masticproxy::markEdit(std::string_view Kind, std::string_view Text,
                                  std::string_view EditId) {
  std::string Marked(withoutVersionLine(Text));
  if (Kind != "profile")
    return Marked;
  // The mark of an earlier edit comes along when its text is edited further.
  std::size_t Old = Marked.rfind(MarkPrefix);
  if (Old != std::string::npos && (Old == 0 || Marked[Old - 1] == '\n'))
    Marked.erase(Old);
  if (!Marked.empty() && Marked.back() != '\n')
    Marked.push_back('\n');
  return Marked.append(MarkPrefix).append(EditId).append("\n");
}

std::string_view masticproxy::withoutVersionLine(std::string_view Text) {
  if (!baseVersionIn(Text))
    return Text;
  std::size_t End = Text.find('\n');
  return End == std::string_view::npos ? "" : Text.substr(End + 1);
}

std::optional<std::uint64_t> masticproxy::baseVersionIn(std::string_view Text) {
  if (!Text.starts_with(VersionLinePrefix))
    return std::nullopt;
  Text.remove_prefix(VersionLinePrefix.size());
  std::uint64_t Version = 0;
  auto [Stop, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  if (Error != std::errc())
    return std::nullopt;
  return Version;
}
