#ifndef MASTICPROXY_POISON_DEATH_EVIDENCE_H
#define MASTICPROXY_POISON_DEATH_EVIDENCE_H

namespace masticproxy {

/// \brief How likely it is that a query caused the death of an upstream.
enum class death_evidence {
  /// Nothing points to another cause.
  Query,
  /// It is not known yet whether other upstreams died at the same time.
  Unchecked,
  /// Other upstreams died at the same time that did not run the query.
  CommonCause,
  /// A check has just found most other upstreams out of reach.
  Excused
};

} // namespace masticproxy

#endif
