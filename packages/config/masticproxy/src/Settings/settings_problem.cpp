#include "masticproxy/src/Settings/settings_problem.h"

using namespace masticproxy;

std::string settings_problem::text() const {
  std::string Text = Source;
  if (Line != 0)
    Text.append(":").append(std::to_string(Line));
  Text.append(": ");
  if (!Key.empty())
    Text.append(Key).append(": ");
  Text.append(Found);
  if (!Expected.empty())
    Text.append("; expected ").append(Expected);
  return Text;
}
