# The fault-injecting TCP relay: a library for tests of links and a program for process tests.
add_library(bluebellquay_faultproxy_lib STATIC faultproxy.cpp faultrelay.cpp)
target_include_directories(bluebellquay_faultproxy_lib PUBLIC ${CMAKE_SOURCE_DIR}/tests)
target_link_libraries(bluebellquay_faultproxy_lib PUBLIC Boost::headers Threads::Threads PRIVATE bluebellquay_options)

add_executable(bluebellquay-faultproxy faultproxymain.cpp)
target_link_libraries(bluebellquay-faultproxy PRIVATE bluebellquay_faultproxy_lib bluebellquay_options PkgConfig::popt)

bluebellquay_add_test(faultproxy faultproxytest.cpp)
target_link_libraries(test_faultproxy PRIVATE bluebellquay_faultproxy_lib)
