#include "metrics/metrics.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

TEST_CASE("histograms are cumulative per customer and class")
{
    metrics all;
    all.observe("yuccachute_total_seconds", { "armor", "live" }, 10ms);
    all.observe("yuccachute_total_seconds", { "armor", "live" }, 20us);
    all.observe("yuccachute_total_seconds", { "armor", "live" }, 200s);
    all.count("yuccachute_failures_total", "verdict", "not_run", 2);
    all.set("yuccachute_members", 3);
    const auto text = all.text();
    CHECK(text.find("# TYPE yuccachute_total_seconds histogram\n") == 0);
    CHECK(
        text.find("yuccachute_total_seconds_bucket{customer=\"armor\",class=\"live\",le=\"0.000133352\"} 1\n")
        != std::string::npos);
    CHECK(text.find("yuccachute_total_seconds_bucket{customer=\"armor\",class=\"live\",le=\"100\"} 2\n")
        != std::string::npos);
    CHECK(text.find("le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("yuccachute_failures_total{verdict=\"not_run\"} 2\n") != std::string::npos);
    CHECK(text.find("yuccachute_members 3\n") != std::string::npos);
}

TEST_CASE("callers cannot grow the memory with invented customers")
{
    metrics all;
    for (int i = 0; i < 5000; ++i)
        all.observe("t", { "customer" + std::to_string(i), "live" }, 1ms);
    CHECK(all.text().find("customer=\"other\"") != std::string::npos);
    CHECK(all.text().find("customer=\"customer4999\"") == std::string::npos);
}
