# Adds a library from every source file in its folder.
function(fuchsiastep_add_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC ${ARGN})
  target_precompile_headers(${name} PRIVATE
    <algorithm> <chrono> <cstdint> <functional> <map> <memory> <optional> <string> <string_view> <unordered_map> <utility> <variant> <vector>)
endfunction()

# Adds a program from every source file in a folder.
function(fuchsiastep_add_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Adds one CppUnit program from every source file of Tests/<folder>, run by CTest under the given label.
# usage: fuchsiastep_add_tests(<folder> LABEL <label> LIBRARIES <library>...)
function(fuchsiastep_add_tests folder)
  cmake_parse_arguments(ARG "" "LABEL;TIMEOUT" "LIBRARIES" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*.cpp)
  set(target Test${folder})
  add_executable(${target} ${sources} ${CMAKE_SOURCE_DIR}/Tests/TestMain.cpp)
  target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
  target_link_libraries(${target} PRIVATE ${ARG_LIBRARIES} PkgConfig::CPPUNIT)
  add_test(NAME ${folder} COMMAND ${target})
  set_tests_properties(${folder} PROPERTIES LABELS "${ARG_LABEL}" TIMEOUT ${ARG_TIMEOUT})
endfunction()
