#include "answer_check.h"

#include "../platform/standins/small_site.h"
#include "caller_answer.h"
#include "soak_records.h"
#include "soak_request.h"

#include <algorithm>
#include <vector>

namespace masticproxy::soak {

namespace {

using platform::small_site;

/// \returns the shard whose upstream signed the response to the request \p Id,
/// or nothing where \p Signature is of another request.
std::optional<unsigned> shardOf(const std::string &Signature,
                                const std::string &Id, unsigned Shards) {
  for (unsigned S = 0; S < Shards; ++S)
    for (unsigned R = 0; R < small_site::Replicas; ++R)
      if (Signature == small_site::signatureOf(S, R, Id))
        return S;
  return std::nullopt;
}

std::optional<std::string> wrongInMerged(const soak_request &Request,
                                         const caller_answer &Answer,
                                         unsigned Shards) {
  std::vector<unsigned> In;
  for (const std::string &Signature : Answer.Signatures) {
    std::optional<unsigned> Shard = shardOf(Signature, Request.Id, Shards);
    if (!Shard)
      return "a signature of another request: " + Signature;
    if (std::find(In.begin(), In.end(), *Shard) != In.end())
      return "two results of shard " + std::to_string(*Shard);
    In.push_back(*Shard);
  }
  if (In.size() + Answer.Missing != Shards)
    return std::to_string(In.size()) + " shards in, " +
           std::to_string(Answer.Missing) + " said to be missing";
  if (In.empty())
    return "a success without any shard";
  double Least =
      Request.Kind == request_kind::Any ? 0 : small_site::LeastCoverage;
  if (static_cast<double>(In.size()) < Least * Shards)
    return "less than the least coverage";
  if (Answer.Body != greatestOf(Request.Id, In, small_site::MergedRecords))
    return "not the greatest records of the shards that are in";
  return std::nullopt;
}

} // namespace

std::optional<std::string> wrongIn(const soak_request &Request,
                                   const caller_answer &Answer,
                                   unsigned Shards) {
  if (isMerged(Request.Kind))
    return wrongInMerged(Request, Answer, Shards);
  std::optional<unsigned> Shard = shardOf(Answer.Signature, Request.Id, Shards);
  if (!Shard)
    return "no signature of this request: " + Answer.Signature;
  std::string Body = Request.Method == "HEAD" ? "" : bodyOf(Request.Id, *Shard);
  if (Answer.Body != Body)
    return "not the body of the upstream that signed it";
  return std::nullopt;
}

} // namespace masticproxy::soak
