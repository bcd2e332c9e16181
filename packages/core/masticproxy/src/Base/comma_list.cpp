#include "masticproxy/src/Base/comma_list.h"

#include <sstream>

using namespace masticproxy;

std::vector<std::string> masticproxy::splitCommaList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}
