#include "runs.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <unistd.h>

namespace yuccachute::load {

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(at, values.size() - 1)];
}

double median(std::vector<double> values)
{
    return quantile(values, 0.5);
}

double processorSeconds(int process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::stringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    double ticks = 0;
    // Fields 14 and 15 of the file: time in user and in kernel mode.
    for (int number = 3; fields >> field; ++number) {
        if (number == 14 || number == 15)
            ticks += std::stod(field);
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentMegabytes(int process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double pages = 0;
    double resident = 0;
    file >> pages >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

double bytesSent()
{
    std::ifstream file("/proc/net/netstat");
    std::string names;
    std::string values;
    while (std::getline(file, names) && std::getline(file, values)) {
        if (!names.starts_with("IpExt:"))
            continue;
        std::stringstream nameFields(names);
        std::stringstream valueFields(values);
        for (std::string name, value; nameFields >> name && valueFields >> value;) {
            if (name == "OutOctets")
                return std::stod(value);
        }
    }
    return 0;
}

std::unique_ptr<testing::test_system> buildSystem(const scenario& described, const variant& chosen)
{
    auto system = std::make_unique<testing::test_system>();
    for (unsigned zone = 0; zone < described.zones; ++zone) {
        const auto name = "zone-" + std::to_string(zone);
        for (unsigned engine = 0; engine < described.enginesPerZone; ++engine)
            system->addEngine(
                "e" + std::to_string(zone) + "-" + std::to_string(engine), name, described.engineFlags);
        for (unsigned entry = 0; entry < described.entriesPerZone; ++entry)
            system->addEntry("n" + std::to_string(zone) + "-" + std::to_string(entry), name);
    }
    for (unsigned batch = 0; batch < described.batches; ++batch)
        system->addBatch("b" + std::to_string(batch), "n" + std::to_string(batch % described.zones) + "-0",
            "workers = 64\n");
    system->setServiceSettings(described.settings + chosen.settings);
    return system;
}

namespace {

/// Flattens one run into columns: nested objects give names like "live.small.total_ms_p99".
void flatten(const json& value, const std::string& name, std::map<std::string, json>& columns,
    std::vector<std::string>& order)
{
    if (value.is_object()) {
        for (const auto& [key, inner] : value.items())
            flatten(inner, name.empty() ? key : name + '.' + key, columns, order);
        return;
    }
    if (!columns.contains(name))
        order.push_back(name);
    columns[name] = value;
}

std::string cell(const json& value)
{
    if (!value.is_number_float())
        return value.is_string() ? value.get<std::string>() : value.dump();
    char text[32];
    std::snprintf(text, sizeof text, "%.3g", value.get<double>());
    return value.get<double>() >= 1000 ? std::to_string(static_cast<long>(value.get<double>())) : text;
}

/// Median over the rounds of each variant.
json medians(const json& figures)
{
    json out = json::array();
    std::vector<std::string> variants;
    for (const auto& run : figures) {
        const auto name = run.value("variant", "");
        if (std::find(variants.begin(), variants.end(), name) == variants.end())
            variants.push_back(name);
    }
    for (const auto& name : variants) {
        std::map<std::string, std::vector<double>> values;
        std::vector<std::string> order;
        for (const auto& run : figures) {
            if (run.value("variant", "") != name)
                continue;
            std::map<std::string, json> columns;
            flatten(run, {}, columns, order);
            for (const auto& [key, value] : columns) {
                if (value.is_number() && key != "round")
                    values[key].push_back(value.get<double>());
            }
        }
        json row { { "variant", name } };
        for (const auto& key : order) {
            if (values.contains(key) && !row.contains(key))
                row[key] = median(values[key]);
        }
        out.push_back(row);
    }
    return out;
}

void printTable(std::ostream& out, const json& rows)
{
    for (const auto& row : rows) {
        std::map<std::string, json> columns;
        std::vector<std::string> order;
        flatten(row, {}, columns, order);
        for (const auto& name : order)
            out << "| " << name << " | " << cell(columns[name]) << " |\n";
        out << '\n';
    }
}

/// Bulk items a second against the live p99 to the first token, one point a variant.
void writePlot(const scenario& described, const json& rows, const std::string& base)
{
    std::ofstream data(base + ".dat");
    data << "# variant bulk_items_per_second first_token_ms_p99\n";
    for (const auto& row : rows) {
        for (const auto& [name, value] : row.items()) {
            if (name.ends_with("first_token_ms_p99"))
                data << '"' << row["variant"].get<std::string>() << "\" " << row["bulk_items_per_second"]
                     << ' ' << value << '\n';
        }
    }
    std::ofstream plot(base + ".gnuplot");
    plot << "set terminal png size 900,600\nset output '" << std::filesystem::path(base).filename().string()
         << ".png'\nset title '" << described.title
         << "'\nset xlabel 'bulk items a second'\nset ylabel 'live time to first token, p99 (ms)'\nset "
            "yrange [0:*]\nset xrange [-1:*]\nset key off\n"
         << "plot '" << std::filesystem::path(base).filename().string()
         << ".dat' using 2:3 with points pt 7 ps 2, '' using 2:3:1 with labels offset 0,1\n";
}

} // namespace

void report(const scenario& described, const json& figures, const std::string& folder)
{
    std::filesystem::create_directories(folder);
    const auto base = folder + '/' + described.name;
    std::ofstream(base + ".json") << json { { "scenario", described.name }, { "title", described.title },
        { "runs", figures } }.dump(2)
                                  << '\n';
    const auto rows = described.kind == "load" ? medians(figures) : figures;
    std::cout << "## " << described.title << "\n\n";
    printTable(std::cout, rows);
    std::ofstream table(base + ".md");
    printTable(table, rows);
    if (described.kind == "load")
        writePlot(described, rows, base);
}

} // namespace yuccachute::load
