#include "masticproxy/src/Ctl/object_command.h"

#include "masticproxy/src/Ctl/conflict_text.h"
#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/object_editor.h"
#include "masticproxy/src/Net/http_platform.h"
#include "masticproxy/src/Query/index_map.h"
#include "masticproxy/src/Query/profile.h"
#include "masticproxy/src/Settings/index_text.h"
#include "masticproxy/src/Settings/object_name.h"
#include "masticproxy/src/Settings/profile_text.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>

using namespace masticproxy;

namespace {

constexpr int NameWidth = 24;

nlohmann::json objectJson(const platform_object &Object) {
  return {{"name", Object.Name},
          {"version", Object.Version},
          {"value", Object.Value}};
}

[[noreturn]] void failUnreachable(const std::string &Reason) {
  throw ctl_error(ctl_exit::Unreachable,
                  "the platform gave no answer: " + Reason);
}

void list(platform_api &Platform, std::string_view Kind, bool Json,
          std::ostream &Out) {
  platform_changes_result Result = Platform.list(Kind);
  if (auto *Failure = std::get_if<platform_unavailable>(&Result))
    failUnreachable(Failure->Reason);
  nlohmann::json Rows = nlohmann::json::array();
  if (!Json)
    Out << std::left << std::setw(NameWidth) << "NAME"
        << "VERSION\n";
  for (const platform_object &Object :
       std::get<platform_changes>(Result).Objects) {
    if (Object.Deleted)
      continue;
    if (Json)
      Rows.push_back(objectJson(Object));
    else
      Out << std::left << std::setw(NameWidth) << Object.Name << Object.Version
          << "\n";
  }
  if (Json)
    Out << Rows.dump(2) << "\n";
}

void get(platform_api &Platform, std::string_view Kind, const std::string &Name,
         bool Json, std::ostream &Out) {
  platform_read_result Result = Platform.get(Kind, Name);
  if (auto *Failure = std::get_if<platform_unavailable>(&Result))
    failUnreachable(Failure->Reason);
  auto *Object = std::get_if<platform_object>(&Result);
  if (!Object)
    throw ctl_error(ctl_exit::Refused,
                    "no " + std::string(Kind) + " called " + Name);
  if (Json)
    Out << objectJson(*Object).dump(2) << "\n";
  else
    Out << VersionLinePrefix << Object->Version << "\n" << Object->Value;
}

/// Prints the result of an edit, or throws it as an error.
struct edit_reporter {
  std::string What;
  /// The text that was to be written; empty for a deletion.
  std::string Yours;
  bool Json;
  std::ostream &Out;

  void operator()(const edit_applied &Result) const {
    if (Json) {
      Out << nlohmann::json(
                 {{"version", Result.Version},
                  {"found_by_reading_back", Result.FoundByReadingBack}})
                 .dump()
          << "\n";
      return;
    }
    if (Result.Version == 0)
      Out << What << " is gone";
    else
      Out << What << " has version " << Result.Version;
    if (Result.FoundByReadingBack)
      Out << " (the answer was lost; the edit was found by reading back)";
    Out << "\n";
  }

  void operator()(const edit_conflict &Result) const {
    std::string Message =
        What + " was changed by somebody else; nothing was written.\n";
    if (Result.Current)
      Message += conflictText(Yours, *Result.Current, Result.Before);
    else
      Message += "It does not exist any more.";
    throw ctl_error(ctl_exit::Conflict, Message);
  }

  void operator()(const edit_unknown &Result) const {
    std::string Message =
        "the platform gave no answer (" + Result.Reason +
        "); the edit may have taken effect. Look with get before you try "
        "again.";
    if (Result.Current)
      Message += " Somebody else has written since, over your edit or before "
                 "it.\n" +
                 conflictText(Yours, *Result.Current, std::nullopt);
    throw ctl_error(ctl_exit::Unknown, Message);
  }

  void operator()(const edit_missing &) const {
    throw ctl_error(ctl_exit::Refused, "there is no " + What);
  }

  void operator()(const edit_not_made &Result) const {
    failUnreachable(Result.Reason + "; nothing was written");
  }

  void operator()(const edit_too_long &Result) const {
    throw ctl_error(ctl_exit::Usage, What + " has " +
                                         std::to_string(Result.Bytes) +
                                         " bytes, the platform holds " +
                                         std::to_string(MaxObjectValueBytes) +
                                         "; nothing was written");
  }
};

void apply(platform_api &Platform, std::string_view Kind,
           const ctl_options &Options, std::ostream &Out) {
  const std::string &Name = Options.Words[2];
  std::string Text = readTextFile(Options.Words[3]);
  checkObjectText(Kind, Text, Name);
  std::string EditId =
      boost::uuids::to_string(boost::uuids::random_generator()());
  std::optional<std::uint64_t> IfVersion = Options.IfVersion;
  if (!IfVersion)
    IfVersion = baseVersionIn(Text);
  edit_result Result =
      object_editor(Platform).apply(Kind, Name, Text, EditId, IfVersion);
  std::string Yours = Kind == "profile" ? Text : "";
  std::visit(
      edit_reporter{std::string(Kind) + " " + Name, Yours, Options.Json, Out},
      Result);
}

void remove(platform_api &Platform, std::string_view Kind,
            const ctl_options &Options, std::ostream &Out) {
  const std::string &Name = Options.Words[2];
  edit_result Result =
      object_editor(Platform).remove(Kind, Name, Options.IfVersion);
  std::visit(
      edit_reporter{std::string(Kind) + " " + Name, "", Options.Json, Out},
      Result);
}

} // namespace

void masticproxy::checkObjectText(std::string_view Kind, std::string_view Text,
                                  std::string_view Name) {
  if (Kind == "profile")
    readProfile(Text, Name);
  else
    readIndexMap(withoutVersionLine(Text), Name);
}

void masticproxy::checkObjectName(std::string_view Kind,
                                  std::string_view Name) {
  if (!isObjectName(Name))
    throw ctl_error(ctl_exit::Usage, "\"" + std::string(Name) +
                                         "\" can't name a " +
                                         std::string(Kind) + "; expected " +
                                         std::string(ObjectNameRule));
}

void masticproxy::runObjectCommand(std::string_view Kind,
                                   const ctl_options &Options,
                                   std::ostream &Out) {
  if (Options.Platform.empty())
    throw ctl_error(ctl_exit::Usage, "--platform ADDRESS is required");
  if (Options.Words.size() > 2)
    checkObjectName(Kind, Options.Words[2]);
  http_platform Platform(Options.Platform, Options.Timeout);
  std::string Verb = Options.Words.size() > 1 ? Options.Words[1] : "";
  std::size_t Count = Options.Words.size();
  if (Verb == "list" && Count == 2)
    return list(Platform, Kind, Options.Json, Out);
  if (Verb == "get" && Count == 3)
    return get(Platform, Kind, Options.Words[2], Options.Json, Out);
  if (Verb == "apply" && Count == 4)
    return apply(Platform, Kind, Options, Out);
  if (Verb == "delete" && Count == 3)
    return remove(Platform, Kind, Options, Out);
  throw ctl_error(ctl_exit::Usage,
                  "expected list, get NAME, apply NAME FILE or delete NAME "
                  "after " +
                      std::string(Kind));
}
