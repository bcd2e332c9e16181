#include "masticproxy/src/Settings/checked_values.h"

#include "masticproxy/src/Settings/settings_error.h"
#include "masticproxy/src/Settings/value_checker.h"

using namespace masticproxy;

checked_values checked_values::read(std::string_view Text,
                                    std::string_view Source,
                                    std::span<const key_spec> Specs) {
  value_checker Checker(Source);
  checked_values Values = Checker.run(Text, Specs);
  std::vector<settings_problem> Problems = Checker.takeProblems();
  if (!Problems.empty())
    throw settings_error(std::move(Problems));
  return Values;
}

const std::string &checked_values::text(std::string_view Path) const {
  return std::get<std::string>(Values.find(Path)->second);
}

std::chrono::milliseconds checked_values::span(std::string_view Path) const {
  return std::get<std::chrono::milliseconds>(Values.find(Path)->second);
}

std::int64_t checked_values::integer(std::string_view Path) const {
  return std::get<std::int64_t>(Values.find(Path)->second);
}

double checked_values::number(std::string_view Path) const {
  return std::get<double>(Values.find(Path)->second);
}

bool checked_values::flag(std::string_view Path) const {
  return std::get<bool>(Values.find(Path)->second);
}
