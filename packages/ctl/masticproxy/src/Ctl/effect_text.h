#ifndef MASTICPROXY_CTL_EFFECT_TEXT_H
#define MASTICPROXY_CTL_EFFECT_TEXT_H

#include <cstdint>
#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace masticproxy {

struct profile_effect;
struct profile_version;
struct vm_effect;

/// \brief One figure before and after an edit.
struct effect_row {
  std::string Name;
  std::string Before;
  std::string After;
};

/// \returns the figures that printEffect() prints.
std::vector<effect_row> effectRows(const profile_effect &Effect);

/// Prints a line for each key whose value differs between the two versions.
void printDifferences(const profile_version &Left, const profile_version &Right,
                      std::ostream &Out);

/// \returns the keys whose values differ between the two versions.
nlohmann::json differencesJson(const profile_version &Left,
                               const profile_version &Right);

/// Prints the requests before and after the edit side by side.
void printEffect(const profile_effect &Effect, std::ostream &Out);

/// Prints since when each VM has \p Version in force, or why that is unknown.
void printVms(std::span<const vm_effect> Vms, std::uint64_t Version,
              std::ostream &Out);

/// \returns the requests before and after the edit.
nlohmann::json effectJson(const profile_effect &Effect);

/// \returns since when each VM has \p Version in force.
nlohmann::json vmsJson(std::span<const vm_effect> Vms, std::uint64_t Version);

} // namespace masticproxy

#endif
