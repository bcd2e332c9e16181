#include "masticproxy/src/Ctl/query_command.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/object_command.h"
#include "masticproxy/src/Net/http_call.h"

#include <nlohmann/json.hpp>

#include <ostream>

using namespace masticproxy;

namespace {

http_request makeRequest(const ctl_options &Options) {
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/v1/indexes/" + percentEncoded(Options.Index) +
                   "/query?profile=" + percentEncoded(Options.Profile);
  if (!Options.RequestId.empty())
    Request.Headers.emplace_back("x-request-id", Options.RequestId);
  Request.Body = Options.Body;
  return Request;
}

void printTable(const nlohmann::json &Root, std::ostream &Out) {
  Out << "request   " << Root.value("request_id", "") << "\n"
      << "outcome   " << Root.value("code", "") << "\n";
  if (Root.contains("message"))
    Out << "message   " << Root["message"].get<std::string>() << "\n";
  if (Root.contains("snapshot"))
    Out << "snapshot  " << Root["snapshot"].get<std::string>() << "\n";
  if (Root.contains("coverage"))
    Out << "coverage  " << Root["coverage"]["answered"] << " of "
        << Root["coverage"]["asked"] << " shards\n";
  if (!Root.contains("results"))
    return;
  for (const nlohmann::json &Result : Root["results"])
    Out << "shard " << Result["shard"].get<std::string>() << "   "
        << Result["body"].dump() << "\n";
}

} // namespace

void masticproxy::runQueryCommand(const ctl_options &Options,
                                  std::ostream &Out) {
  bool Whole = Options.Vms.size() == 1 && !Options.Index.empty() &&
               !Options.Profile.empty();
  if (!Whole)
    throw ctl_error(ctl_exit::Usage,
                    "query needs one --vm, --index and --profile");
  checkObjectName("index", Options.Index);
  checkObjectName("profile", Options.Profile);
  exchange_result Result =
      httpCall(Options.Vms.front(), makeRequest(Options), Options.Timeout);
  if (auto *Failure = std::get_if<exchange_error>(&Result))
    throw ctl_error(ctl_exit::Unreachable,
                    "the VM gave no answer: " + Failure->Text +
                        (Failure->MayHaveRun ? "; the request may have run"
                                             : "; the request was not run"));
  const std::string &Body = std::get<http_response>(Result).Body;
  nlohmann::json Root = nlohmann::json::parse(Body, nullptr, false);
  if (!Root.is_object())
    throw ctl_error(ctl_exit::Unreachable, "the VM's answer is no JSON object");
  if (Options.Json)
    Out << Root.dump(2) << "\n";
  else
    printTable(Root, Out);
  if (Root.value("code", "") != "answered")
    throw ctl_error(ctl_exit::Refused, "outcome " + Root.value("code", "?"));
}
