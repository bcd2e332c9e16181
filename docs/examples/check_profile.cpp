/// \file
/// Reads a profile and prints every problem of one that is not valid.

#include "masticproxy/Query"
#include "masticproxy/Settings"

#include <iostream>

using namespace masticproxy;

int main() {
  profile Profile = readProfile("wait = \"300ms\"\ncoverage = 0.9\n", "lookup");
  std::cout << Profile.Name << " waits " << Profile.Wait.count() << " ms\n";
  try {
    readProfile("wait = \"soon\"\ncoverege = 0.9\n", "mistaken");
  } catch (const settings_error &Error) {
    std::cout << Error.what() << "\n";
    return Error.problems().size() == 2 ? 0 : 1;
  }
  return 1;
}
