# mustardpond_library(NAME [DEPENDS targets...]): adds the static library of one package, installs it with its public
# headers, and adds its tests (every test/*_test.cpp).
function(mustardpond_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
    add_library(${name} STATIC ${sources})
    add_library(mustardpond::${name} ALIAS ${name})
    target_include_directories(${name}
        PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
               $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/mustardpond>
        PRIVATE src)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
    install(TARGETS ${name} EXPORT mustardpond ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/mustardpond)
    mustardpond_tests(${name} LINKS ${name})
endfunction()

function(mustardpond_tests name)
    if(NOT MUSTARDPOND_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
    file(GLOB tests CONFIGURE_DEPENDS test/*_test.cpp)
    if(tests)
        add_executable(${name}_test ${tests})
        target_link_libraries(${name}_test PRIVATE ${ARG_LINKS} GTest::gmock GTest::gtest_main)
        target_include_directories(${name}_test PRIVATE src)
        gtest_discover_tests(${name}_test DISCOVERY_TIMEOUT 60)
    endif()
endfunction()
