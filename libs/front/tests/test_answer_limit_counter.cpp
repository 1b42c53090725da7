#include "front/front.h"
#include "metrics/metrics.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

// Guards against answers that are cut without a trace: operators see them in this counter alone.
TEST_CASE("answers that crossed a limit are counted by limit")
{
    metrics figures;
    const auto count = answerLimitCounter(figures);
    count("answer head bytes");
    count("answer head bytes");
    CHECK_THAT(
        figures.text(), Catch::Contains("yuccachute_answer_limits_total{limit=\"answer head bytes\"} 2"));
}
