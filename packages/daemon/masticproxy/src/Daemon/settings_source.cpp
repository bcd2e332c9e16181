#include "masticproxy/src/Daemon/settings_source.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

using namespace masticproxy;

namespace {

constexpr std::chrono::milliseconds PauseBetweenTries{50};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw std::invalid_argument("can't read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

bool exists(const std::string &Path) {
  std::error_code Error;
  return std::filesystem::exists(Path, Error);
}

} // namespace

settings_source::settings_source(std::string Path, std::string Fallback)
    : Path(std::move(Path)), Fallback(std::move(Fallback)) {}

const std::string &settings_source::path() const {
  bool UseFallback = !Fallback.empty() && (Path.empty() || !exists(Path));
  return UseFallback ? Fallback : Path;
}

node_settings settings_source::read() const {
  const std::string &File = path();
  return readNodeSettings(readFile(File), File);
}

node_settings settings_source::await(std::chrono::milliseconds Wait) const {
  // The file may be written while this process starts.
  auto Latest = std::chrono::steady_clock::now() + Wait;
  while (std::chrono::steady_clock::now() < Latest) {
    try {
      return read();
    } catch (const std::exception &) {
      std::this_thread::sleep_for(PauseBetweenTries);
    }
  }
  return read();
}
