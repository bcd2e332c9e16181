#include "masticproxy/src/Daemon/daemon_log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

using namespace masticproxy;

namespace {

log4cxx::LoggerPtr logger() { return log4cxx::Logger::getRootLogger(); }

} // namespace

void masticproxy::setUpLog(std::string_view Level, std::string_view Vm) {
  std::string Pattern =
      "time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p vm=" + std::string(Vm) +
      " %m%n";
  auto Layout = std::make_shared<log4cxx::PatternLayout>(Pattern);
  auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemOut());
  log4cxx::BasicConfigurator::configure(Appender);
  setLogLevel(Level);
}

void masticproxy::setLogLevel(std::string_view Level) {
  logger()->setLevel(log4cxx::Level::toLevel(std::string(Level)));
}

void masticproxy::logInfo(const std::string &Line) {
  LOG4CXX_INFO(logger(), Line);
}

void masticproxy::logWarning(const std::string &Line) {
  LOG4CXX_WARN(logger(), Line);
}

void masticproxy::logError(const std::string &Line) {
  LOG4CXX_ERROR(logger(), Line);
}
