#include "places/places.h"
#include <catch2/catch.hpp>
