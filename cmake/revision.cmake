# Writes the revision of the sources in SOURCE_DIR to the file OUTPUT, unless it holds the same already.
find_program(GIT git)
set(REVISION "")
if(GIT)
    execute_process(COMMAND ${GIT} describe --always --dirty --abbrev=12 --exclude=*
        WORKING_DIRECTORY ${SOURCE_DIR} OUTPUT_VARIABLE REVISION OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET)
endif()
if(REVISION STREQUAL "")
    set(REVISION unknown)
endif()
file(CONFIGURE OUTPUT ${OUTPUT} CONTENT [=[
#include "logging/logging.h"

std::string_view yuccachute::buildRevision()
{
    return "@REVISION@";
}
]=] @ONLY)
