# Declares one library of libs/NAME with its public header under include/NAME/ and its unit tests.
#
# yuccachute_library(NAME SOURCES ... [DEPENDS ...] [TESTS ...])
#
# The layers are enforced here: a library can only name libraries that were declared before it, and the
# top-level list declares the layers from the lowest to the highest.
function(yuccachute_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS;TESTS" ${ARGN})
    foreach(dependency IN LISTS ARG_DEPENDS ARG_PRIVATE_DEPENDS)
        if(dependency MATCHES "^yc_" AND NOT TARGET ${dependency})
            message(FATAL_ERROR "libs/${name} depends on ${dependency}, which belongs to a higher layer")
        endif()
    endforeach()
    add_library(yc_${name} STATIC ${ARG_SOURCES})
    target_include_directories(yc_${name} PUBLIC include)
    target_compile_options(yc_${name} PRIVATE -Wall -Wextra -Wno-unused-parameter)
    target_link_libraries(yc_${name} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS} Threads::Threads)
    if(ARG_TESTS AND NOT YUCCACHUTE_PROGRAMS_ONLY)
        yuccachute_test(test_${name} SOURCES ${ARG_TESTS} DEPENDS yc_${name})
    endif()
endfunction()

# Declares one Catch2 program and registers it with ctest.
function(yuccachute_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} yc_test_main Catch2::Catch2)
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    add_test(NAME ${name} COMMAND ${name})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()

if(YUCCACHUTE_PROGRAMS_ONLY)
    return()
endif()
file(WRITE ${CMAKE_BINARY_DIR}/test_main.cpp "#define CATCH_CONFIG_MAIN\n#include <catch2/catch.hpp>\n")
add_library(yc_test_main STATIC ${CMAKE_BINARY_DIR}/test_main.cpp)
target_link_libraries(yc_test_main PUBLIC Catch2::Catch2)
