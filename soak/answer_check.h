#ifndef MASTICPROXY_SOAK_ANSWER_CHECK_H
#define MASTICPROXY_SOAK_ANSWER_CHECK_H

#include <optional>
#include <string>

namespace masticproxy::soak {

struct caller_answer;
struct soak_request;

/// \returns what is wrong with the success \p Answer to \p Request of a site of
/// \p Shards shards, or nothing: it has to be whole, to belong to the request,
/// and to state its coverage truly.
std::optional<std::string> wrongIn(const soak_request &Request,
                                   const caller_answer &Answer,
                                   unsigned Shards);

} // namespace masticproxy::soak

#endif
