#ifndef MASTICPROXY_CTL_REPORT_COMMAND_H
#define MASTICPROXY_CTL_REPORT_COMMAND_H

namespace masticproxy {

struct ctl_options;

/// Runs `report FILE`. \throws ctl_error where the page can't be written or a
/// VM can't be reached; the page is written if any VM is reached.
void runReportCommand(const ctl_options &Options);

} // namespace masticproxy

#endif
