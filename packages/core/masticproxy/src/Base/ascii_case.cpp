#include "masticproxy/src/Base/ascii_case.h"

using namespace masticproxy;

std::string masticproxy::lowerCase(std::string Text) {
  for (char &C : Text)
    if (C >= 'A' && C <= 'Z')
      C = static_cast<char>(C - 'A' + 'a');
  return Text;
}
