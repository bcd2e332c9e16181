/// \file
/// Bad input to real processes: a clear error, never a crash or a hang.

#include "masticproxy/Cluster"
#include "masticproxy/Harness"
#include "masticproxy/Wire"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace masticproxy;

namespace {

constexpr const char *Lookup = "wait = \"2s\"\nmay_repeat = true\n";

std::string codeOf(const std::optional<http_response> &Response) {
  if (!Response)
    return "none";
  return nlohmann::json::parse(Response->Body).value("code", "none");
}

std::optional<http_response> call(test_cluster &Cluster, std::string Method,
                                  std::string Target) {
  http_request Request;
  Request.Method = std::move(Method);
  Request.Target = std::move(Target);
  return Cluster.send(Cluster.callersAddress(0), std::move(Request));
}

bool healthy(test_cluster &Cluster) {
  return Cluster.get(Cluster.callersAddress(0), "/healthz") == "ok\n";
}

bool takesPeers(test_cluster &Cluster) {
  try {
    return exchangeRaw(Cluster.peersAddress(0), "", /*EndAfter=*/true).Closed;
  } catch (const std::exception &) {
    // Not open yet.
    return false;
  }
}

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

Test(bad_input, http_that_is_malformed_or_too_large_is_refused) {
  test_cluster Cluster({.FirstPort = 25200, .VmDataCentres = {"dc1"}});
  Cluster.startVm(0);
  cr_assert(Cluster.waitUntil([&] { return healthy(Cluster); }));
  std::string Address = Cluster.callersAddress(0);

  raw_reply Garbage = exchangeRaw(Address, "\x01\x02 no http\r\n\r\n");
  cr_assert(Garbage.Closed && contains(Garbage.Bytes, " 400 "));
  cr_assert(contains(Garbage.Bytes, "malformed_http"));

  std::string LongHeader =
      "GET /healthz HTTP/1.1\r\nx: " + std::string(40000, 'y') + "\r\n\r\n";
  raw_reply Header = exchangeRaw(Address, LongHeader);
  cr_assert(Header.Closed && contains(Header.Bytes, " 431 "));

  std::string LongBody = "POST /v1/indexes/index/query?profile=p HTTP/1.1\r\n"
                         "content-length: 3000000\r\n\r\n" +
                         std::string(3000000, 'z');
  raw_reply Body = exchangeRaw(Address, LongBody);
  cr_assert(Body.Closed && contains(Body.Bytes, " 413 "));
  cr_assert(contains(Body.Bytes, "the request was not run"));

  raw_reply Cut = exchangeRaw(Address, "POST /v1/ind", /*EndAfter=*/true);
  cr_assert(Cut.Closed);
  cr_assert(healthy(Cluster));
}

Test(bad_input, unknown_names_paths_and_methods_have_codes_of_their_own) {
  test_cluster Cluster({.FirstPort = 25300, .VmDataCentres = {"dc1"}});
  Cluster.startSurroundings();
  Cluster.setProfile("lookup", Lookup);
  Cluster.startVm(0);
  cr_assert(Cluster.waitUntil(
      [&] { return codeOf(Cluster.query(0, "lookup")) == "answered"; }));
  std::string Query = "/v1/indexes/index/query?profile=lookup";
  auto UnknownIndex =
      call(Cluster, "POST", "/v1/indexes/none/query?profile=lookup");
  cr_assert(UnknownIndex->Status == 404);
  cr_assert(codeOf(UnknownIndex) == "unknown_index");
  cr_assert(codeOf(Cluster.query(0, "none")) == "unknown_profile");
  cr_assert(codeOf(Cluster.query(0, "%20")) == "bad_request");
  cr_assert(codeOf(Cluster.query(0, "")) == "bad_request");
  cr_assert(
      codeOf(call(Cluster, "POST", "/v1/indexes/a%2Fb/query?profile=lookup")) ==
      "bad_request");
  cr_assert(codeOf(call(Cluster, "GET", "/nowhere")) == "not_found");
  auto Read = call(Cluster, "GET", Query);
  cr_assert(Read->Status == 405);
  cr_assert(findHeader(Read->Headers, "allow") == "POST");
  auto Write = call(Cluster, "DELETE", "/v1/status");
  cr_assert(Write->Status == 405);
  cr_assert(findHeader(Write->Headers, "allow") == "GET");
}

Test(bad_input, bad_frames_close_their_connection_and_are_counted) {
  test_cluster Cluster({.FirstPort = 25400, .VmDataCentres = {"dc1"}});
  Cluster.startVm(0);
  // The peers' address is the last that a VM opens.
  cr_assert(Cluster.waitUntil([&] { return takesPeers(Cluster); }));
  std::string Frame =
      makeFrame(encodePeerMessage(configuration_pull{7, "a"}, {}));
  std::string Foreign = Frame;
  Foreign[4] = 99;
  std::string Changed = Frame;
  Changed.back() = static_cast<char>(Changed.back() ^ 1);
  struct {
    std::string Bytes;
    std::string Reason;
  } Cases[] = {{Foreign, "wrong_version"},
               {Changed, "wrong_checksum"},
               {makeFrame("no message"), "malformed"},
               {"GET / HTTP/1.1\r\n\r\n", "too_long"},
               {Frame.substr(0, Frame.size() - 3), "cut_short"}};
  for (const auto &Case : Cases) {
    bool Cut = Case.Reason == "cut_short";
    raw_reply Reply = exchangeRaw(Cluster.peersAddress(0), Case.Bytes, Cut);
    cr_assert(Reply.Closed, "%s", Case.Reason.c_str());
    std::string Line =
        "masticproxy_peer_bad_frames_total{reason=\"" + Case.Reason + "\"} 1\n";
    cr_assert(Cluster.waitUntil([&] {
      return contains(Cluster.get(Cluster.callersAddress(0), "/metrics"), Line);
    }));
  }
  raw_reply Relay = exchangeRaw(Cluster.peersAddress(0),
                                makeFrame("no message", frame_channel::Relay));
  cr_assert(Relay.Closed);
  cr_assert(Cluster.waitUntil([&] {
    return contains(Cluster.get(Cluster.callersAddress(0), "/metrics"),
                    "masticproxy_relay_bad_frames_total 1\n");
  }));
  // A well-formed message may still name an address that is none.
  exchangeRaw(Cluster.peersAddress(0), Frame, /*EndAfter=*/true);
  cr_assert(Cluster.waitUntil([&] {
    return contains(Cluster.get(Cluster.callersAddress(0), "/metrics"),
                    "masticproxy_peer_bad_addresses_total 1\n");
  }));
  cr_assert(healthy(Cluster));
}

Test(bad_input, an_index_map_with_a_bad_address_never_comes_into_force) {
  test_cluster Cluster({.FirstPort = 25500, .VmDataCentres = {"dc1"}});
  Cluster.startSurroundings();
  Cluster.setProfile("lookup", Lookup);
  Cluster.startVm(0);
  cr_assert(Cluster.waitUntil(
      [&] { return codeOf(Cluster.query(0, "lookup")) == "answered"; }));
  // Past masticctl, which checks it too.
  http_request Put;
  Put.Method = "PUT";
  Put.Target = "/v1/objects/index/index?if_version=1";
  Put.Body = R"({"snapshot":"s2","shards":[{"id":"0","replicas":[{"address":
    "nowhere","data_centre":"dc1","slots":1,"connections":1}]}]})";
  cr_assert(Cluster.send(Cluster.platformAddress(), Put)->Status == 200);
  cr_assert(Cluster.waitUntil([&] {
    return contains(Cluster.get(Cluster.callersAddress(0), "/metrics"),
                    "masticproxy_configuration_rejected_total 1\n");
  }));
  cr_assert(codeOf(Cluster.query(0, "lookup")) == "answered");
}

Test(bad_input, a_port_in_use_ends_the_daemon_with_exit_code_1) {
  test_cluster Cluster({.FirstPort = 25600, .VmDataCentres = {"dc1"}});
  Cluster.startVm(0);
  cr_assert(Cluster.waitUntil([&] { return healthy(Cluster); }));
  std::string Output;
  int Exit = Cluster.run("masticproxyd",
                         {"--settings", Cluster.settingsFile(0)}, Output);
  cr_assert(Exit == 1, "exit code %d", Exit);
  cr_assert(contains(Output, "can't listen at " + Cluster.callersAddress(0)));

  std::string PeersTaken = Cluster.makeFile(
      "peers-taken.toml", "[node]\nname = \"a\"\ndata_centre = \"dc1\"\n"
                          "[listen]\ncallers = \"" +
                              Cluster.callersAddress(1) + "\"\npeers = \"" +
                              Cluster.peersAddress(0) +
                              "\"\n[platform]\naddress = \"" +
                              Cluster.platformAddress() + "\"\n");
  Exit = Cluster.run("masticproxyd", {"--settings", PeersTaken}, Output);
  cr_assert(Exit == 1, "exit code %d", Exit);
  cr_assert(contains(Output, "can't listen at " + Cluster.peersAddress(0)));
  cr_assert(healthy(Cluster));
}

Test(bad_input, an_unreachable_platform_at_start_is_named_until_it_comes) {
  test_cluster Cluster({.FirstPort = 25700, .VmDataCentres = {"dc1"}});
  Cluster.startVm(0);
  cr_assert(Cluster.waitUntil([&] { return healthy(Cluster); }));
  auto Ready = call(Cluster, "GET", "/readyz");
  cr_assert(Ready->Status == 503);
  cr_assert(contains(Ready->Body, "platform is unreachable"));
  auto Refused = Cluster.query(0, "lookup");
  cr_assert(Refused->Status == 503);
  cr_assert(codeOf(Refused) == "not_run");
  cr_assert(contains(Refused->Body, "platform is unreachable"));

  Cluster.startSurroundings();
  Cluster.setProfile("lookup", Lookup);
  cr_assert(Cluster.waitUntil(
      [&] { return codeOf(Cluster.query(0, "lookup")) == "answered"; }));
  cr_assert(call(Cluster, "GET", "/readyz")->Status == 200);
}

Test(bad_input, files_of_the_wrong_kind_end_with_exit_code_2) {
  test_cluster Cluster({.FirstPort = 25800, .VmDataCentres = {"dc1"}});
  std::string Output;
  std::string Empty = Cluster.makeFile("empty.toml", "");
  cr_assert(Cluster.run("masticproxyd", {"--settings", Empty}, Output) == 2);
  for (const char *Key : {"node.name", "node.data_centre", "listen.callers",
                          "listen.peers", "platform.address"})
    cr_assert(contains(Output, std::string(Key) + ": missing"), "%s", Key);
  cr_assert(Cluster.run("masticproxyd", {"--settings", "/nowhere"}, Output) ==
            2);
  Cluster.startVm(0);
  std::string Settings = Cluster.settingsFile(0);
  cr_assert(Cluster.ctl({"check", "settings", Settings}, Output) == 0);
  cr_assert(Cluster.ctl({"check", "profile", Settings}, Output) == 2);
  cr_assert(contains(Output, "node: unknown key"));
}

Test(bad_input, exit_codes_of_masticctl_tell_what_happened) {
  test_cluster Cluster({.FirstPort = 25900, .VmDataCentres = {"dc1"}});
  std::string Output;
  std::string Profile = Cluster.makeFile("lookup.toml", Lookup);
  std::vector<std::string> Apply{"profile", "apply", "lookup", Profile};
  cr_assert(Cluster.ctl(Apply, Output) == 1);
  cr_assert(contains(Output, "nothing was written"));
  Cluster.startPlatform();
  cr_assert(Cluster.ctl(Apply, Output) == 0);
  cr_assert(Cluster.ctl({"profile", "get", "none"}, Output) == 4);
  cr_assert(Cluster.ctl({"profile", "get", "../x"}, Output) == 2);
  cr_assert(
      Cluster.ctl({"profile", "apply", "lookup", Profile, "--if-version", "99"},
                  Output) == 3);
  cr_assert(contains(Output, "changed by somebody else"));
  cr_assert(Cluster.ctl({"profile", "wash", "lookup"}, Output) == 2);
  std::string Long = Cluster.makeFile(
      "long.toml", std::string(Lookup) + "# " + std::string(1U << 20U, 'x'));
  cr_assert(Cluster.ctl({"profile", "apply", "long", Long}, Output) == 2);
  cr_assert(contains(Output, "nothing was written"));
  cr_assert(Cluster.ctl({"profile", "get", "long"}, Output) == 4);
  Cluster.setFaults(Cluster.platformAddress(), "{\"down\":true}");
  cr_assert(Cluster.ctl({"profile", "list"}, Output) == 1);
}
