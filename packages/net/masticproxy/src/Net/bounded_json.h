#ifndef MASTICPROXY_NET_BOUNDED_JSON_H
#define MASTICPROXY_NET_BOUNDED_JSON_H

#include "masticproxy/src/Base/json_text.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace masticproxy {

/// \returns what the JSON text \p Text says. \throws std::invalid_argument if
/// it is nested deeper than MaxJsonDepth, as copying and writing such a value
/// would exhaust the stack; nlohmann::json::exception if it is no JSON.
inline nlohmann::json parseBoundedJson(std::string_view Text) {
  if (jsonDepth(Text) > MaxJsonDepth)
    throw std::invalid_argument("JSON nested deeper than " +
                                std::to_string(MaxJsonDepth));
  return nlohmann::json::parse(Text);
}

} // namespace masticproxy

#endif
