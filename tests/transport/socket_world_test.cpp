// The tests at the end of socket_world.hpp, until they are moved to this file.
#define TESTS_OF_SOCKET_WORLD
#include <gtest/gtest.h>

#include "transport/socket_world.hpp"
