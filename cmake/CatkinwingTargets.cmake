# Helpers that give every target of the project the same settings.

set(CATKINWING_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual -Werror)

# catkinwing_add_library(PACKAGE SOURCES file... DEPENDS target...)
# Defines the static library of one package, catkinwingPACKAGE.
function(catkinwing_add_library package)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(catkinwing${package} STATIC ${ARG_SOURCES})
  target_include_directories(catkinwing${package} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  target_compile_options(catkinwing${package} PRIVATE ${CATKINWING_WARNINGS})
  target_link_libraries(catkinwing${package} PUBLIC ${ARG_DEPENDS})
endfunction()

# catkinwing_add_executable(NAME SOURCES file... DEPENDS target...)
function(catkinwing_add_executable name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE ${CATKINWING_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# Longest time of one unit test in seconds, beyond which it counts as hung. The
# longest takes 12 s; the sanitizers make it 144 s on eight busy cores.
if(CATKINWING_SANITIZE)
  set(CATKINWING_UNITTEST_TIMEOUT 900)
else()
  set(CATKINWING_UNITTEST_TIMEOUT 240)
endif()

# catkinwing_add_unittest(PACKAGE SOURCES file... DEPENDS target...)
# Defines PACKAGETests; each Catch2 case is one CTest test named PACKAGE.CASE. The
# target unit-tests builds them all.
function(catkinwing_add_unittest package)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${package}Tests ${ARG_SOURCES})
  target_compile_options(${package}Tests PRIVATE ${CATKINWING_WARNINGS})
  target_link_libraries(${package}Tests PRIVATE catkinwing${package} ${ARG_DEPENDS} Catch2::Catch2WithMain)
  set_target_properties(${package}Tests PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/unittests)
  add_dependencies(unit-tests ${package}Tests)
  catch_discover_tests(${package}Tests TEST_PREFIX "${package}." PROPERTIES TIMEOUT ${CATKINWING_UNITTEST_TIMEOUT})
endfunction()

# catkinwing_add_subdirectories(NAME...) adds those that exist.
function(catkinwing_add_subdirectories)
  foreach(name ${ARGN})
    if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/CMakeLists.txt)
      add_subdirectory(${name})
    endif()
  endforeach()
endfunction()
