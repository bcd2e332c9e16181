#include "masticproxy/src/Settings/settings_reference.h"

#include "masticproxy/src/Settings/key_spec.h"
#include "masticproxy/src/Settings/object_name.h"

#include <sstream>

using namespace masticproxy;

namespace {

bool hasBounds(value_kind Kind) {
  return Kind == value_kind::Duration || Kind == value_kind::Integer ||
         Kind == value_kind::Number;
}

std::string plain(double Number) {
  std::ostringstream Out;
  Out.precision(12);
  Out << Number;
  return Out.str();
}

std::string wordList(std::string_view Choices) {
  std::string List;
  for (char C : Choices)
    List += C == '|' ? std::string(", ") : std::string(1, C);
  return List;
}

std::string boundsOf(const key_spec &Spec) {
  if (Spec.Kind == value_kind::Choice)
    return wordList(Spec.Choices);
  if (!hasBounds(Spec.Kind))
    return "";
  std::string Unit = Spec.Kind == value_kind::Duration ? " ms" : "";
  return plain(Spec.Least) + " to " + plain(Spec.Greatest) + Unit;
}

void appendTable(std::string &Page, std::span<const key_spec> Specs) {
  Page += "| key | type | default | bounds | meaning |\n"
          "|---|---|---|---|---|\n";
  for (const key_spec &Spec : Specs) {
    std::string Default = "required";
    if (!Spec.Default.empty())
      Default.assign("`").append(Spec.Default).append("`");
    Page.append("| `").append(Spec.Path).append("` | ");
    Page.append(toString(Spec.Kind)).append(" | ").append(Default);
    Page.append(" | ").append(boundsOf(Spec)).append(" | ");
    Page.append(Spec.Brief).append(" |\n");
  }
}

} // namespace

std::string masticproxy::settingsReference() {
  std::string Page =
      "# Settings\n\n"
      "Written by `masticproxyd --print-settings-reference`; a test holds "
      "this page\nagainst the code.\n\n"
      "A duration is a text with a unit: `\"250ms\"`, `\"2s\"`, `\"1min\"`. "
      "An address is an\nIP number and port: `\"127.0.0.1:8080\"`, "
      "`\"[::1]:8080\"`. An unknown key, a wrong\ntype or an impossible value "
      "is an error; all errors of a file are named at once,\nwith their "
      "lines.\n\n"
      "## Settings of a VM\n\n"
      "The TOML file that `masticproxyd --settings FILE` reads; where there is "
      "none, the\none that the environment variable `MASTICPROXY_NODE_FILE` "
      "names. `masticctl check\nsettings FILE` checks it. `log.level` is read "
      "again on SIGHUP, all else at the\nstart.\n\n";
  appendTable(Page, nodeSettingsSpecs());
  Page += "\n`peers.dead_after` must be more than `peers.suspect_after`, and "
          "that more than\n`peers.heartbeat_interval`. `listen.callers` and "
          "`listen.peers` must differ.\n\n"
          "## Profiles\n\n"
          "The TOML text of an object of kind `profile`; `masticctl check "
          "profile FILE`\nchecks it, and `masticctl profile apply` writes it. "
          "The name of a profile or an\nindex is " +
          std::string(ObjectNameRule) + ".\n\n";
  appendTable(Page, profileSpecs());
  return Page;
}
