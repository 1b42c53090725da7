#include "bulk_process/bulk_process.h"
#include <catch2/catch.hpp>
