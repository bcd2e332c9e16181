/// \file
/// Which file a daemon's settings come from.

#include "masticproxy/src/Daemon/settings_source.h"

#include <criterion/criterion.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// A folder with files of settings, each of a VM named like its file.
class settings_folder {
public:
  settings_folder()
      : Path(std::filesystem::temp_directory_path() /
             ("masticproxy-source-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(Path);
  }
  ~settings_folder() { std::filesystem::remove_all(Path); }

  std::string path(const std::string &Name) const { return Path / Name; }

  void write(const std::string &Name) const {
    std::ofstream(path(Name))
        << "[node]\nname = \"" << Name << "\"\ndata_centre = \"dc1\"\n"
        << "[platform]\naddress = \"127.0.0.1:1\"\n[listen]\n"
        << "callers = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\n";
  }

private:
  std::filesystem::path Path;
};

} // namespace

Test(settings_source, prefers_the_file_of_the_command_line) {
  settings_folder Folder;
  Folder.write("named");
  Folder.write("fallback");
  settings_source Source(Folder.path("named"), Folder.path("fallback"));
  cr_assert(Source.read().Name == "named");
  cr_assert(Source.path() == Folder.path("named"));
}

// A platform that places the settings elsewhere names the place in a variable.
Test(settings_source, takes_the_fallback_where_there_is_no_such_file) {
  settings_folder Folder;
  Folder.write("fallback");
  for (const std::string &Path : {Folder.path("named"), std::string()}) {
    settings_source Source(Path, Folder.path("fallback"));
    cr_assert(Source.read().Name == "fallback");
  }
}

Test(settings_source, awaits_either_file) {
  settings_folder Folder;
  settings_source Source(Folder.path("named"), Folder.path("fallback"));
  cr_assert_any_throw(Source.await(milliseconds(60)));
  Folder.write("fallback");
  cr_assert(Source.await(milliseconds(60)).Name == "fallback");
}

Test(settings_source, names_a_file_that_is_not_there) {
  settings_folder Folder;
  settings_source Source(Folder.path("named"), "");
  cr_assert_throw(Source.read(), std::invalid_argument);
}
