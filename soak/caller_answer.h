#ifndef MASTICPROXY_SOAK_CALLER_ANSWER_H
#define MASTICPROXY_SOAK_CALLER_ANSWER_H

#include <string>
#include <vector>

namespace masticproxy::soak {

/// \brief What a caller got back.
struct caller_answer {
  unsigned Status = 0;
  /// The signature of a single upstream's response.
  std::string Signature;
  /// The signatures of the results that were merged.
  std::vector<std::string> Signatures;
  /// The shards that are said to be left out.
  unsigned Missing = 0;
  std::string Body;
  /// Whether more came than the answer.
  bool MoreBytes = false;
};

} // namespace masticproxy::soak

#endif
