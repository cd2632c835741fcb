include(GoogleTest)

# Adds the library skylarkbridge::NAME from src/skylarkbridge/NAME/*.cpp and, when *_test.cpp
# files stand beside them, the test program NAME_test.
function(skylarkbridge_module NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  set(dir ${PROJECT_SOURCE_DIR}/src/skylarkbridge/${NAME})
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$|/main\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")

  if(sources)
    add_library(skylarkbridge_${NAME} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(skylarkbridge_${NAME} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(skylarkbridge::${NAME} ALIAS skylarkbridge_${NAME})
  target_include_directories(skylarkbridge_${NAME} ${scope} ${PROJECT_SOURCE_DIR}/include
                                                            ${PROJECT_SOURCE_DIR}/src)
  foreach(dep ${ARG_DEPENDS})
    target_link_libraries(skylarkbridge_${NAME} ${scope} skylarkbridge::${dep})
  endforeach()
  target_link_libraries(skylarkbridge_${NAME} ${scope} ${ARG_LIBRARIES})

  if(tests AND BUILD_TESTING)
    add_executable(${NAME}_test ${tests})
    target_link_libraries(${NAME}_test PRIVATE skylarkbridge::${NAME} GTest::gtest_main)
    gtest_discover_tests(${NAME}_test WORKING_DIRECTORY ${PROJECT_SOURCE_DIR} PROPERTIES TIMEOUT 120)
  endif()
endfunction()
