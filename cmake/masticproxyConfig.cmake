include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(Boost 1.74)
include("${CMAKE_CURRENT_LIST_DIR}/masticproxyTargets.cmake")
