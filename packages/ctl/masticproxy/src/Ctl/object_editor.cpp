#include "masticproxy/src/Ctl/object_editor.h"

using namespace masticproxy;

namespace {

constexpr unsigned ReadBackTries = 3;
constexpr std::string_view MarkPrefix = "# edit ";

/// Takes off the line with the version that `get` prints before a profile: in
/// the written text it would be wrong.
std::string_view withoutVersionLine(std::string_view Text) {
  if (!Text.starts_with(VersionLinePrefix))
    return Text;
  std::size_t End = Text.find('\n');
  return End == std::string_view::npos ? std::string_view()
                                       : Text.substr(End + 1);
}

} // namespace

edit_result object_editor::apply(std::string_view Kind, std::string_view Name,
                                 std::string_view Text, std::string_view EditId,
                                 std::optional<std::uint64_t> IfVersion) {
  std::string Marked = markEdit(Kind, Text, EditId);
  if (Marked.size() > MaxObjectValueBytes)
    return edit_too_long{Marked.size()};
  std::uint64_t Expected = IfVersion.value_or(0);
  if (!IfVersion) {
    platform_read_result Read = Platform.get(Kind, Name);
    if (auto *Failure = std::get_if<platform_unavailable>(&Read))
      return edit_not_made{Failure->Reason};
    if (auto *Object = std::get_if<platform_object>(&Read))
      Expected = Object->Version;
  }
  platform_write_result Written = Platform.put(Kind, Name, Expected, Marked);
  if (auto *Object = std::get_if<platform_object>(&Written))
    return edit_applied{Object->Version, false};
  if (auto *Conflict = std::get_if<platform_conflict>(&Written))
    return edit_conflict{Conflict->Current};
  return readBack(Kind, Name, Marked, Expected,
                  std::get<platform_unavailable>(Written).Reason);
}

edit_result object_editor::readBack(std::string_view Kind,
                                    std::string_view Name,
                                    std::string_view Marked,
                                    std::uint64_t IfVersion,
                                    const std::string &Reason) {
  for (unsigned Try = 0; Try < ReadBackTries; ++Try) {
    platform_read_result Read = Platform.get(Kind, Name);
    auto *Object = std::get_if<platform_object>(&Read);
    bool Ours = Object && Object->Value == Marked;
    if (Ours && Object->Version > IfVersion)
      return edit_applied{Object->Version, true};
  }
  // The write may still arrive, or another edit may have followed it.
  return edit_unknown{Reason};
}

std::string masticproxy::markEdit(std::string_view Kind, std::string_view Text,
                                  std::string_view EditId) {
  if (Kind != "profile")
    return std::string(Text);
  std::string Marked(withoutVersionLine(Text));
  // The mark of an earlier edit comes along when its text is edited further.
  std::size_t Old = Marked.rfind(MarkPrefix);
  if (Old != std::string::npos && (Old == 0 || Marked[Old - 1] == '\n'))
    Marked.erase(Old);
  if (!Marked.empty() && Marked.back() != '\n')
    Marked.push_back('\n');
  return Marked.append(MarkPrefix).append(EditId).append("\n");
}
