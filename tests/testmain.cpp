// Entry point of the Catch2 executables; compiled once because the Catch2 implementation is large.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
