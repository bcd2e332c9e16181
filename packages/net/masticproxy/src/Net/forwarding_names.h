#ifndef MASTICPROXY_NET_FORWARDING_NAMES_H
#define MASTICPROXY_NET_FORWARDING_NAMES_H

#include <string_view>

namespace masticproxy {

/// \brief Names of the header fields that forwarded requests and their
/// responses carry, in lower case.
struct forwarding_names {
  /// Id of one try of a caller; upstreams repeat it in their responses.
  std::string_view RequestId = "x-request-id";
  /// Milliseconds that the sender still waits.
  std::string_view TimeLeft = "x-deadline-ms";
  /// Key of the caller's team; it goes to no upstream.
  std::string_view Key = "x-key";
  /// Name of the caller's team, for upstreams.
  std::string_view Team = "x-team";
  /// Identity that an upstream must have to run the request.
  std::string_view ExpectedInstance = "x-expected-instance";
  /// An upstream's signature of its response.
  std::string_view Signature = "x-signature";
  /// Present where an upstream did not run the request.
  std::string_view NotRun = "x-not-run";
  /// Present where an upstream is leaving.
  std::string_view Leaving = "x-leaving";
  /// Signatures of the results in a merged answer.
  std::string_view Signatures = "x-signatures";
  /// Number of shards that a merged answer lacks.
  std::string_view MissingShards = "x-missing-shards";
};

} // namespace masticproxy

#endif
