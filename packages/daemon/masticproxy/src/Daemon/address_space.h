#ifndef MASTICPROXY_DAEMON_ADDRESS_SPACE_H
#define MASTICPROXY_DAEMON_ADDRESS_SPACE_H

namespace masticproxy {

/// Keeps the address space small that the threads of this process take. To be
/// called before any of them starts.
void limitAddressSpace();

} // namespace masticproxy

#endif
