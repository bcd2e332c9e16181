#ifndef MASTICPROXY_SOAK_SOAK_OPTIONS_H
#define MASTICPROXY_SOAK_SOAK_OPTIONS_H

#include <chrono>
#include <string>

namespace masticproxy::soak {

/// \brief What one run of the soak is made of.
struct soak_options {
  unsigned Seed = 1;
  unsigned Vms = 4;
  /// How long faults begin.
  std::chrono::seconds Length{20};
  /// Address and first port of all processes.
  std::string Host = "127.0.0.1";
  unsigned FirstPort = 20000;
  /// Where the programs are, the template of their settings, and where logs
  /// and settings go.
  std::string Programs;
  std::string Settings;
  std::string Folder;
};

} // namespace masticproxy::soak

#endif
