# masticproxy_library(name [LINK libs...]): a library package made of all
# sources below masticproxy/src of the calling folder.
function(masticproxy_library NAME)
  cmake_parse_arguments(ARG "" "" "LINK;PRIVATE_LINK" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS masticproxy/src/*.cpp)
  add_library(masticproxy_${NAME} STATIC ${SOURCES})
  target_include_directories(masticproxy_${NAME} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(masticproxy_${NAME} PUBLIC ${ARG_LINK})
  foreach(LIB ${ARG_PRIVATE_LINK})
    target_link_libraries(masticproxy_${NAME} PRIVATE $<BUILD_INTERFACE:${LIB}>)
  endforeach()
endfunction()

# masticproxy_install_library(name): installs a package's library and headers.
function(masticproxy_install_library NAME)
  install(TARGETS masticproxy_${NAME} EXPORT masticproxyTargets
          ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT development)
  install(DIRECTORY masticproxy DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
          COMPONENT development PATTERN "*.cpp" EXCLUDE)
endfunction()

# masticproxy_test(name sources... [LINK libs...]): one Criterion program,
# run by CTest with RapidCheck's seed fixed. What fails is not made smaller
# there, which takes minutes; the program run by hand does it. CASES is the
# number of cases of each property, SEED another seed, FILTER a pattern of the
# Criterion tests to run; PROGRAM names a program that another test built.
function(masticproxy_test NAME)
  if(MASTICPROXY_DAEMON_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "TIMEOUT;CASES;SEED;FILTER;PROGRAM;JOBS"
    "SOURCES;LINK;LABELS" ${ARGN})
  if(NOT ARG_PROGRAM)
    set(ARG_PROGRAM ${NAME})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE ${ARG_LINK} PkgConfig::CRITERION rapidcheck)
    target_include_directories(${NAME} SYSTEM PRIVATE
      $<TARGET_PROPERTY:rapidcheck,INTERFACE_INCLUDE_DIRECTORIES>)
  endif()
  if(NOT ARG_CASES)
    set(ARG_CASES 100)
  endif()
  if(NOT ARG_SEED)
    set(ARG_SEED 20261204)
  endif()
  if(ARG_FILTER)
    set(FILTER --filter ${ARG_FILTER})
  endif()
  if(ARG_JOBS)
    list(APPEND FILTER --jobs ${ARG_JOBS})
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  if(NOT ARG_LABELS)
    set(ARG_LABELS unit)
  endif()
  add_test(NAME ${NAME} COMMAND ${ARG_PROGRAM} ${FILTER})
  set_tests_properties(${NAME} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=${ARG_SEED} noshrink=1 max_success=${ARG_CASES};MASTICPROXY_BIN=${CMAKE_BINARY_DIR}/bin;MASTICPROXY_SOURCE=${CMAKE_SOURCE_DIR}"
    TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}")
endfunction()

set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
