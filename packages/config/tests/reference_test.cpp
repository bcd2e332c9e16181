/// \file
/// The reference page against the code, names, and index maps.

#include "masticproxy/Query"
#include "masticproxy/Settings"

#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace masticproxy;

namespace {

std::string mapWith(std::string_view Address, std::string_view Slots) {
  return R"({"snapshot":"s","shards":[{"id":"0","replicas":[{"address":")" +
         std::string(Address) + R"(","data_centre":"d","connections":1,)" +
         R"("slots":)" + std::string(Slots) + "}]}]}";
}

} // namespace

Test(reference, page_is_what_the_code_prints) {
  const char *Source = std::getenv("MASTICPROXY_SOURCE");
  cr_assert(Source, "run under ctest");
  std::ostringstream Page;
  Page << std::ifstream(std::string(Source) + "/docs/SETTINGS.md").rdbuf();
  cr_assert(Page.str() == settingsReference(),
            "docs/SETTINGS.md is old: write it again with "
            "masticproxyd --print-settings-reference");
}

Test(names, are_short_and_plain) {
  for (const char *Good : {"a", "counter-desk", "v1.2_x", "9"})
    cr_assert(isObjectName(Good), "%s", Good);
  for (const char *Bad : {"", "-a", ".", "a b", "a/b", "\xc3\xa9", "a\n"})
    cr_assert(!isObjectName(Bad), "%s", Bad);
  cr_assert(isObjectName(std::string(MaxObjectNameBytes, 'a')));
  cr_assert(!isObjectName(std::string(MaxObjectNameBytes + 1, 'a')));
}

Test(indexes, refuse_addresses_and_counts_that_are_none) {
  cr_assert(readIndexMap(mapWith("127.0.0.1:80", "3"), "i").Current);
  for (const char *Address : {"", "host:80", "127.0.0.1", "127.0.0.1:99999"})
    cr_assert_throw(readIndexMap(mapWith(Address, "3"), "i"), settings_error);
  for (const char *Slots : {"0", "-1", "1000001", "\"3\""})
    cr_assert_throw(readIndexMap(mapWith("[::1]:80", Slots), "i"),
                    settings_error);
}
