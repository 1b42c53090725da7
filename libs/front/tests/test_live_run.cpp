#include "front/front.h"
#include <catch2/catch.hpp>
