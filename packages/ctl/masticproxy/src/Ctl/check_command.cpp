#include "masticproxy/src/Ctl/check_command.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/object_command.h"
#include "masticproxy/src/Settings/node_settings.h"

#include <ostream>

using namespace masticproxy;

void masticproxy::runCheckCommand(const ctl_options &Options,
                                  std::ostream &Out) {
  if (Options.Words.size() != 3)
    throw ctl_error(ctl_exit::Usage,
                    "expected check settings|profile|index FILE");
  const std::string &What = Options.Words[1];
  const std::string &Path = Options.Words[2];
  std::string Text = readTextFile(Path);
  if (What == "settings")
    readNodeSettings(Text, Path);
  else if (What == "profile" || What == "index")
    checkObjectText(What, Text, Path);
  else
    throw ctl_error(ctl_exit::Usage, "can't check a " + What);
  Out << (Options.Json ? "{\"good\":true}" : Path + ": good") << "\n";
}
