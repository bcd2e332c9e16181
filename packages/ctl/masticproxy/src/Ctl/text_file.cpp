#include "masticproxy/src/Ctl/text_file.h"

#include "masticproxy/src/Ctl/ctl_error.h"

#include <fstream>

using namespace masticproxy;

void masticproxy::writeTextFile(const std::string &Path,
                                std::string_view Text) {
  std::ofstream File(Path);
  File << Text;
  File.close();
  if (!File)
    throw ctl_error(ctl_exit::Usage, "can't write " + Path);
}
