#ifndef MASTICPROXY_SETTINGS_INDEX_TEXT_H
#define MASTICPROXY_SETTINGS_INDEX_TEXT_H

#include <string_view>

namespace masticproxy {

struct index_map;

/// Reads the map of the index called \p Name from its JSON \p Text:
/// `{"snapshot": id, "shards": [{"id": id, "replicas": [{"address": text,
/// "data_centre": text, "slots": number, "connections": number}]}]}`.
/// \throws settings_error with the first problem.
index_map readIndexMap(std::string_view Text, std::string_view Name);

} // namespace masticproxy

#endif
