#include "masticproxy/src/Harness/test_programs.h"

#include <cstdlib>
#include <stdexcept>
#include <thread>

using namespace masticproxy;

namespace {

constexpr std::chrono::milliseconds ConditionPoll{10};

} // namespace

std::string masticproxy::testHost() {
  const char *Host = std::getenv("MASTICPROXY_TEST_HOST");
  return Host ? Host : "127.0.0.1";
}

std::string masticproxy::programPath(const std::string &Name) {
  // CI runs the process tests a second time over instrumented programs.
  const char *Folder = std::getenv("MASTICPROXY_INSTRUMENTED_BIN");
  if (!Folder)
    Folder = std::getenv("MASTICPROXY_BIN");
  if (!Folder)
    throw std::runtime_error("MASTICPROXY_BIN is not set; run under ctest");
  return std::string(Folder) + "/" + Name;
}

bool masticproxy::waitUntil(const std::function<bool()> &Condition,
                            std::chrono::milliseconds Longest) {
  auto Latest = std::chrono::steady_clock::now() + Longest;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Latest)
      return false;
    std::this_thread::sleep_for(ConditionPoll);
  }
  return true;
}
