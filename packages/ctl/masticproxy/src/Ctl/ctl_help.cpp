#include "masticproxy/src/Ctl/ctl_help.h"

using namespace masticproxy;

namespace {

constexpr std::string_view Common =
    "\n"
    "Options for all: --json, --timeout-ms N, --help, --version\n"
    "\n"
    "Exit codes: 0 good, 1 unreachable, 2 bad command line or file,\n"
    "3 conflict with another edit, 4 refused or not answered in full,\n"
    "5 the write may have taken effect.\n";

struct command_help {
  std::string_view Command;
  std::string_view Text;
};

constexpr command_help Commands[] = {
    {"query",
     "Usage: masticctl query --vm ADDRESS --index NAME --profile NAME\n"
     "         [--body TEXT] [--request ID]\n"
     "\n"
     "Sends one query and prints the answer with its coverage. --request "
     "gives\n"
     "the request id; the VM makes one where it is absent.\n"},
    {"profile",
     "Usage: masticctl profile list --platform ADDRESS\n"
     "       masticctl profile get NAME --platform ADDRESS\n"
     "       masticctl profile apply NAME FILE --platform ADDRESS\n"
     "         [--if-version N]\n"
     "       masticctl profile delete NAME --platform ADDRESS [--if-version "
     "N]\n"
     "       masticctl profile status NAME --vm ADDRESS[,ADDRESS...]\n"
     "       masticctl profile effect NAME --vm ADDRESS[,ADDRESS...]\n"
     "       masticctl profile diff NAME [FROM TO] --vm ADDRESS[,ADDRESS...]\n"
     "       masticctl profile history NAME --vm ADDRESS[,ADDRESS...]\n"
     "\n"
     "Reads and edits profiles. With --if-version the edit is made only if "
     "the\n"
     "profile still has that version. status shows the version in force on\n"
     "each VM. effect shows the requests of all VMs before and after the "
     "newest\n"
     "edit; diff and history what the last versions in force differ in.\n"},
    {"index",
     "Usage: masticctl index list --platform ADDRESS\n"
     "       masticctl index get NAME --platform ADDRESS\n"
     "       masticctl index apply NAME FILE --platform ADDRESS\n"
     "         [--if-version N]\n"
     "       masticctl index delete NAME --platform ADDRESS [--if-version N]\n"
     "       masticctl index status NAME --vm ADDRESS[,ADDRESS...]\n"
     "\n"
     "Reads and edits index maps: the snapshot, its shards and their "
     "replicas.\n"},
    {"status", "Usage: masticctl status --vm ADDRESS[,ADDRESS...]\n"
               "\n"
               "Prints what each VM reports of itself and its peers.\n"},
    {"timeline",
     "Usage: masticctl timeline --vm ADDRESS[,ADDRESS...] [--request ID]\n"
     "         [--kind KIND[,KIND...]] [--vm-name NAME] [--profile NAME]\n"
     "         [--upstream ADDRESS] [--since WHEN] [--until WHEN]\n"
     "         [--follow [--for SPAN]]\n"
     "       masticctl timeline --vm ADDRESS[,ADDRESS...] --request ID\n"
     "         [--waterfall] [--svg FILE]\n"
     "\n"
     "Prints the events of all VMs in causal order; those that fit all "
     "filters.\n"
     "--profile chooses the events of that profile's requests, --vm-name "
     "those\n"
     "of one VM. A SPAN is such as 500ms, 10s, 5min or 1h; WHEN is a SPAN "
     "back\n"
     "from now, or a wall time such as 2026-12-04T11:30:00Z. --follow goes on\n"
     "with new events until interrupted. --waterfall prints each attempt of a\n"
     "request with its beginning and end, --svg draws the same into FILE.\n"},
    {"report", "Usage: masticctl report FILE --vm ADDRESS[,ADDRESS...]\n"
               "\n"
               "Writes one HTML page: each profile before and after its newest "
               "edit.\n"},
    {"check", "Usage: masticctl check settings|profile|index FILE\n"
              "\n"
              "Checks a file without a server and names all its errors.\n"},
};

} // namespace

std::string masticproxy::ctlHelp() {
  return "Usage: masticctl COMMAND [OPTIONS]\n"
         "\n"
         "Commands; each has its own --help:\n"
         "  query      send one query\n"
         "  profile    read and edit profiles, and see them in force\n"
         "  index      read and edit index maps, and see them in force\n"
         "  status     what each VM reports\n"
         "  timeline   events of all VMs in order\n"
         "  report     a page of all profiles before and after an edit\n"
         "  check      check a settings, profile or index file\n" +
         std::string(Common);
}

std::string masticproxy::ctlHelp(std::string_view Command) {
  for (const command_help &Help : Commands)
    if (Help.Command == Command)
      return std::string(Help.Text) + std::string(Common);
  return {};
}
