#include "masticproxy/src/Settings/object_name.h"

#include <algorithm>

using namespace masticproxy;

namespace {

// Not std::isalnum(), which asks the locale.
bool isAlphanumeric(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9');
}

} // namespace

bool masticproxy::isObjectName(std::string_view Name) {
  if (Name.empty() || Name.size() > MaxObjectNameBytes)
    return false;
  return isAlphanumeric(Name.front()) &&
         std::all_of(Name.begin(), Name.end(), [](char C) {
           return isAlphanumeric(C) || C == '-' || C == '_' || C == '.';
         });
}
