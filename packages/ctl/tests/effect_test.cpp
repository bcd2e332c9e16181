/// \file
/// What masticctl says of an edit's effect, from answers of VMs as a test has
/// set them.

#include "masticproxy/Ctl"
#include "masticproxy/src/Ctl/vm_reports.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace masticproxy;

namespace {

/// What one VM's report says of the profile `p`.
vm_effect effectIn(const vm_report &Report) {
  return effectsIn(readAnswers(std::vector{Report}), "p").front();
}

constexpr const char *Long =
    "wait = \"300ms\"\ncoverage = 0.9\nmay_repeat = true\n";
constexpr const char *Short =
    "wait = \"20ms\"\ncoverage = 0.9\nmay_repeat = true\n";

/// A version with \p Count requests of \p Us microseconds.
nlohmann::json versionRow(int Version, const char *Text, int Count, int Us) {
  return {{"version", Version},
          {"in_force_since_us", Version * 1000000},
          {"text", Text},
          {"requests", Count},
          {"outcomes", {{"answered", Count}}},
          {"refusals", nlohmann::json::object()},
          {"latency", {{{"le_us", Us}, {"count", Count}}}},
          {"with_coverage", Count},
          {"coverage_sum", Count * 0.5},
          {"shards", Count * 4},
          {"attempts", Count * 5}};
}

vm_effect vm(const std::string &Address, const nlohmann::json &Versions) {
  nlohmann::json Root = {
      {"profiles", {{{"name", "p"}, {"versions", Versions}}}}};
  return effectIn({Address, true, Root.dump()});
}

nlohmann::json rows(std::initializer_list<nlohmann::json> Rows) {
  nlohmann::json All = nlohmann::json::array();
  for (const nlohmann::json &Row : Rows)
    All.push_back(Row);
  return All;
}

} // namespace

Test(effect, sums_the_vms_and_takes_quantiles_of_all_requests) {
  std::vector<vm_effect> Vms{
      vm("a",
         rows({versionRow(3, Long, 90, 1000), versionRow(7, Short, 10, 2000)})),
      vm("b",
         rows({versionRow(3, Long, 10, 50000), versionRow(7, Short, 0, 1)}))};
  auto Effect = effectOf(Vms);
  cr_assert(Effect && Effect->BeforeVersion == 3 && Effect->AfterVersion == 7);
  cr_assert(Effect->Before.Requests == 100 && Effect->After.Requests == 10);
  // The mean of the VMs' medians would be 25 ms.
  auto Median = *Effect->Before.Latency.quantile(0.5);
  auto Tail = *Effect->Before.Latency.quantile(0.99);
  cr_assert(Median >= std::chrono::microseconds(1000));
  cr_assert(Median <= std::chrono::microseconds(1052));
  cr_assert(Tail >= std::chrono::microseconds(50000));
  cr_assert(Effect->Before.CoverageSum == 50);
}

Test(effect, keeps_apart_a_vm_that_has_not_got_the_edit) {
  std::vector<vm_effect> Vms{vm("a", rows({versionRow(3, Long, 5, 1000),
                                           versionRow(7, Short, 6, 2000)})),
                             vm("b", rows({versionRow(3, Long, 7, 1000)}))};
  auto Effect = effectOf(Vms);
  cr_assert(Effect->Before.Requests == 12 && Effect->After.Requests == 6);
  std::ostringstream Out;
  printVms(Vms, 7, Out);
  cr_assert(Out.str().find("1970-01-01T00:00:07.000Z") != std::string::npos);
  cr_assert(Out.str().find("not yet, it has version 3") != std::string::npos);
}

Test(effect, of_a_first_version_has_no_before) {
  std::vector<vm_effect> Vms{vm("a", rows({versionRow(3, Long, 5, 1000)}))};
  auto Effect = effectOf(Vms);
  cr_assert(Effect && Effect->BeforeVersion == 0 && Effect->AfterVersion == 3);
  cr_assert(effectJson(*Effect)["before"].is_null());
  cr_assert_not(effectOf({}));
}

Test(effect, says_which_vm_told_nothing_and_why) {
  vm_effect Down = effectIn({"a", false, "connection refused"});
  cr_assert(Down.Unreachable == "connection refused");
  for (const char *Text :
       {"", "[]", "{\"code\":\"not_found\"}",
        "{\"profiles\":[{\"name\":\"p\"}]}",
        "{\"profiles\":[{\"name\":\"p\",\"versions\":[3]}]}"})
    cr_assert_not(effectIn({"a", true, Text}).Unreachable.empty(), "%s", Text);
  vm_effect Other = effectIn({"a", true, "{\"profiles\":[]}"});
  cr_assert(Other.Unreachable.empty() && Other.Versions.empty());
}

Test(diff, names_the_fields_and_a_deletion) {
  std::ostringstream Out;
  printDifferences({3, {}, Long, {}}, {7, {}, Short, {}}, Out);
  cr_assert(Out.str() == "  wait: 300ms -> 20ms\n", "%s", Out.str().c_str());
  Out.str("");
  printDifferences({3, {}, Long, {}}, {7, {}, "", {}}, Out);
  cr_assert(Out.str() == "  deleted\n");
  Out.str("");
  printDifferences({3, {}, Long, {}}, {7, {}, Long, {}}, Out);
  cr_assert(Out.str() == "  no value that VMs apply differs\n");
}
