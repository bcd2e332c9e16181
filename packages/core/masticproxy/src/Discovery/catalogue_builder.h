#ifndef MASTICPROXY_DISCOVERY_CATALOGUE_BUILDER_H
#define MASTICPROXY_DISCOVERY_CATALOGUE_BUILDER_H

#include "masticproxy/src/Discovery/routing_configuration.h"
#include "masticproxy/src/Discovery/upstream_entry.h"

#include <memory>
#include <span>

namespace masticproxy {

class query_catalogue;

/// \returns the catalogue for \p Configuration with the upstreams that are
/// registered; a draining one, or one of an unknown shard, is left out.
std::shared_ptr<const query_catalogue>
buildCatalogue(const routing_configuration &Configuration,
               std::span<const upstream_entry> Upstreams);

} // namespace masticproxy

#endif
