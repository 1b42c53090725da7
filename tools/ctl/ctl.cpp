// Operators' command line.

#include "http/http.h"
#include "ini/ini.h"
#include "logging/logging.h"
#include "settings/settings.h"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <thread>

namespace {

using namespace yuccachute;
using json = nlohmann::ordered_json;

// Exit codes, for scripts.
constexpr int exitOk = 0;
constexpr int exitRefused = 1; ///< Refused, or for diff: there are differences.
constexpr int exitUsage = 2;
constexpr int exitConflict = 3;
constexpr int exitUnreachable = 4;
constexpr milliseconds callTimeout { 15000 };
constexpr milliseconds pollInterval { 200 };
constexpr int barWidth = 40;

struct ctl_options {
    std::string admin;
    std::string entry;
    std::string token;
    std::string key;
    std::string note;
    int waitMs = 0;
    bool watch = false;
    std::vector<std::string> words;
};

/// Thrown to end with an exit code after its message was printed.
struct stop_with {
    int code;
};

[[noreturn]] void fail(int code, const std::string& message)
{
    std::cerr << "yuccachutectl: " << message << '\n';
    throw stop_with { code };
}

int exitCodeOf(unsigned status)
{
    if (status == 409)
        return exitConflict;
    return status >= 500 ? exitUnreachable : exitRefused;
}

http_reply call(const std::string& address, const std::string& bearer, const std::string& method,
    const std::string& path, const std::string& query = {}, const std::string& body = {})
{
    http_request request;
    request.method = method;
    request.path = path;
    request.query = query;
    request.body = body;
    if (!bearer.empty())
        request.headers.emplace_back("Authorization", "Bearer " + bearer);
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + callTimeout;
    auto reply = httpCall(address, request, options);
    if (!reply)
        fail(exitUnreachable,
            address + ": " + reply.error().message + " (verdict " + std::string(toString(reply.error().ran))
                + ")");
    if (reply.value().status >= 300) {
        const auto document = json::parse(reply.value().body, nullptr, false);
        const bool known = document.is_object() && document.contains("error");
        const auto message = known
            ? document["error"].value("message", "") + " (" + document["error"].value("code", "")
                + ", verdict " + document["error"].value("verdict", "") + ")"
            : reply.value().body;
        fail(exitCodeOf(reply.value().status), message);
    }
    return reply.value();
}

http_reply callAdmin(const ctl_options& options, const std::string& method, const std::string& path,
    const std::string& query = {}, const std::string& body = {})
{
    return call(options.admin, options.token, method, path, query, body);
}

std::string word(const ctl_options& options, std::size_t at, const char* what)
{
    if (at >= options.words.size())
        fail(exitUsage, std::string(what) + " is missing; see --help");
    return options.words[at];
}

/// Waits until every member has the version in force, and lists them.
int waitInForce(const ctl_options& options, std::int64_t version)
{
    const auto deadline = std::chrono::steady_clock::now() + milliseconds { options.waitMs };
    for (;;) {
        const auto status = json::parse(callAdmin(options, "GET", "/admin/status").body);
        std::size_t have = 0;
        for (const auto& member : status["members"])
            have += member["settings_version"].get<std::int64_t>() >= version;
        const bool all = have == status["members"].size() && have > 0;
        if (all || std::chrono::steady_clock::now() >= deadline) {
            for (const auto& member : status["members"])
                std::cout << (member["settings_version"].get<std::int64_t>() >= version ? "in force  "
                                                                                        : "NOT YET   ")
                          << member["vm"].get<std::string>() << " (" << member["zone"].get<std::string>()
                          << ")\n";
            return all ? exitOk : exitRefused;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

json toJson(const settings_edit& edit)
{
    json out { { "path", edit.path }, { "set", json::object() }, { "unset", edit.unset },
        { "remove", edit.removeNode } };
    for (const auto& [key, value] : edit.set)
        out["set"][key] = value;
    if (edit.base)
        out["base"] = *edit.base;
    return out;
}

std::string editsBody(const ctl_options& options, const std::vector<settings_edit>& edits)
{
    json body { { "note", options.note }, { "edits", json::array() } };
    for (const auto& edit : edits)
        body["edits"].push_back(toJson(edit));
    return body.dump();
}

int submit(const ctl_options& options, const std::vector<settings_edit>& edits)
{
    const auto reply = callAdmin(options, "POST", "/admin/edits", {}, editsBody(options, edits));
    const auto version = json::parse(reply.body)["version"].get<std::int64_t>();
    std::cout << "accepted as version " << version << '\n';
    return options.waitMs > 0 ? waitInForce(options, version) : exitOk;
}

json fetchNode(const ctl_options& options, const std::string& path)
{
    return json::parse(callAdmin(options, "GET", "/admin/node", "path=" + path).body);
}

int get(const ctl_options& options)
{
    if (options.words.size() == 1) {
        std::cout << callAdmin(options, "GET", "/admin/tree").body;
        return exitOk;
    }
    const auto node = fetchNode(options, word(options, 1, "PATH"));
    const auto only = options.words.size() > 2 ? options.words[2] : "";
    if (!only.empty() && !node["effective"].contains(only))
        fail(exitRefused, '[' + options.words[1] + "] " + only + ": no such key at this kind of node");
    for (const auto& [key, effective] : node["effective"].items()) {
        if (only.empty() || key == only)
            std::cout << key << " = " << effective["value"].get<std::string>() << "    ; from "
                      << effective["from"].get<std::string>() << '\n';
    }
    return exitOk;
}

/// Edits name the revision that was read, so that a race shows as a conflict.
int set(const ctl_options& options)
{
    settings_edit edit;
    edit.path = word(options, 1, "PATH");
    word(options, 2, "KEY=VALUE");
    for (std::size_t i = 2; i < options.words.size(); ++i) {
        const auto& pair = options.words[i];
        const auto equals = pair.find('=');
        if (equals == std::string::npos)
            fail(exitUsage, "\"" + pair + "\" is not of the form KEY=VALUE");
        edit.set[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    edit.base = fetchNode(options, edit.path)["revision"].get<std::int64_t>();
    return submit(options, { edit });
}

int unset(const ctl_options& options)
{
    settings_edit edit;
    edit.path = word(options, 1, "PATH");
    word(options, 2, "KEY");
    edit.unset.assign(options.words.begin() + 2, options.words.end());
    edit.base = fetchNode(options, edit.path)["revision"].get<std::int64_t>();
    return submit(options, { edit });
}

int removeNode(const ctl_options& options)
{
    settings_edit edit;
    edit.path = word(options, 1, "PATH");
    edit.removeNode = true;
    edit.base = fetchNode(options, edit.path)["revision"].get<std::int64_t>();
    return submit(options, { edit });
}

std::vector<settings_edit> readEdits(const ctl_options& options)
{
    const auto fileName = word(options, 1, "FILE.ini");
    const auto text = readFile(fileName);
    if (!text)
        fail(exitUsage, text.error().message);
    const auto edits = readIni(fileName, text.value());
    if (!edits)
        fail(exitRefused, edits.error().message);
    return edits.value();
}

int apply(const ctl_options& options)
{
    return submit(options, readEdits(options));
}

/// Shows what apply would change. Like diff(1): 0 for nothing, 1 for differences.
int diff(const ctl_options& options)
{
    const auto current = readIni("(tree)", callAdmin(options, "GET", "/admin/tree").body);
    if (!current)
        fail(exitRefused, current.error().message);
    std::map<std::string, settings_edit> nodes;
    for (const auto& node : current.value())
        nodes[node.path] = node;
    bool differs = false;
    for (const auto& edit : readEdits(options)) {
        for (const auto& [key, value] : edit.set) {
            const auto& known = nodes[edit.path].set;
            const auto found = known.find(key);
            if (found != known.end() && found->second == value)
                continue;
            differs = true;
            std::cout << '[' << edit.path << "]\n";
            if (found != known.end())
                std::cout << "- " << key << " = " << found->second << '\n';
            std::cout << "+ " << key << " = " << value << '\n';
        }
    }
    return differs ? exitRefused : exitOk;
}

int history(const ctl_options& options)
{
    for (const auto& entry : json::parse(callAdmin(options, "GET", "/admin/history", "most=50").body)) {
        std::cout << "version " << entry["version"] << " by " << entry["author"].get<std::string>() << ' '
                  << entry.value("note", "") << '\n';
        for (const auto& node : entry["nodes"])
            std::cout << "  [" << node["path"].get<std::string>() << "] " << node["before"].dump() << " -> "
                      << node["after"].dump() << '\n';
    }
    return exitOk;
}

/// Undoes an accepted edit by a new one that restores what its nodes held before.
int undo(const ctl_options& options)
{
    const auto wanted = std::atoll(word(options, 1, "VERSION").c_str());
    for (const auto& entry : json::parse(callAdmin(options, "GET", "/admin/history", "most=100000").body)) {
        if (entry["version"].get<std::int64_t>() != wanted)
            continue;
        std::vector<settings_edit> edits;
        for (const auto& node : entry["nodes"]) {
            settings_edit edit;
            edit.path = node["path"].get<std::string>();
            // Only if nobody has changed the node since.
            edit.base = node["after"].is_null() ? 0 : wanted;
            edit.removeNode = node["before"].is_null();
            const json before = node["before"].is_null() ? json::object() : node["before"];
            for (const auto& [key, value] : before.items())
                edit.set[key] = value.get<std::string>();
            if (node["after"].is_object() && !edit.removeNode) {
                for (const auto& [key, value] : node["after"].items()) {
                    if (!before.contains(key))
                        edit.unset.push_back(key);
                }
            }
            edits.push_back(std::move(edit));
        }
        return submit(options, edits);
    }
    fail(exitRefused, "there is no version " + std::to_string(wanted) + " in the history");
}

int status(const ctl_options& options)
{
    const auto body = json::parse(callAdmin(options, "GET", "/admin/status").body);
    std::cout << "accepted version " << body["version"] << '\n';
    for (const auto& member : body["members"]) {
        std::cout << (member["in_force"].get<bool>() ? "in force  " : "NOT YET   ")
                  << member["vm"].get<std::string>() << " (" << member["zone"].get<std::string>()
                  << ") version " << member["settings_version"]
                  << (member["batch"].get<bool>() ? " batch" : "")
                  << (member["admin"].get<bool>() ? " admin" : "") << '\n';
    }
    return exitOk;
}

int schemaList(const ctl_options&)
{
    for (const auto& key : schema())
        std::cout << key.name << " (" << (key.choices.empty() ? key.type : key.choices) << ", default \""
                  << key.fallback << "\"): " << key.meaning << '\n';
    return exitOk;
}

int jobs(const ctl_options& options)
{
    const auto id = word(options, 1, "ID");
    for (;;) {
        const auto job = json::parse(call(options.entry, options.key, "GET", "/v1/batches/" + id).body);
        const double progress = job["progress"].get<double>();
        const int filled = static_cast<int>(progress * barWidth);
        std::cout << '[' << std::string(static_cast<std::size_t>(filled), '#')
                  << std::string(static_cast<std::size_t>(barWidth - filled), '.') << "] "
                  << static_cast<int>(progress * 100) << "% " << job["counts"]["completed"] << " completed, "
                  << job["counts"]["failed"] << " failed of " << job["counts"]["total"] << ", "
                  << job["state"].get<std::string>() << '\n';
        if (!options.watch || job["state"] != "running")
            return exitOk;
        std::this_thread::sleep_for(pollInterval);
    }
}

int cancelJob(const ctl_options& options)
{
    std::cout
        << call(options.entry, options.key, "POST", "/v1/batches/" + word(options, 1, "ID") + "/cancel").body;
    return exitOk;
}

int hash(const ctl_options& options)
{
    std::cout << sha256Hex(word(options, 1, "SECRET")) << '\n';
    return exitOk;
}

/// Reads the processes' logs from standard input.
int explain(const ctl_options& options)
{
    const auto timeline = timelineOf(word(options, 1, "ID"), std::cin);
    for (const auto& line : timeline)
        std::cout << line << '\n';
    if (timeline.empty())
        fail(exitRefused, "no line names this id");
    return exitOk;
}

/// Reads the processes' logs from standard input.
int losses(const ctl_options&)
{
    const auto table = describeLosses(std::cin);
    std::cout << table;
    if (table.empty())
        fail(exitRefused, "no line of a log");
    return exitOk;
}

struct command {
    std::string_view usage;
    std::string_view meaning;
    std::function<int(const ctl_options&)> run;
};

const std::map<std::string, command>& commands()
{
    static const std::map<std::string, command> all {
        { "get",
            { "get [PATH [KEY]]",
                "the whole tree as INI, or a node's effective values and where each comes from", get } },
        { "set", { "set PATH KEY=VALUE...", "set keys of a node", set } },
        { "unset", { "unset PATH KEY...", "inherit keys again", unset } },
        { "remove", { "remove PATH", "remove a node", removeNode } },
        { "apply", { "apply FILE.ini", "set everything the file says, in one step", apply } },
        { "diff", { "diff FILE.ini", "what apply would change (exit code 1 if anything)", diff } },
        { "history", { "history", "accepted edits, the newest first", history } },
        { "undo", { "undo VERSION", "restore what the nodes of that edit held before", undo } },
        { "status", { "status", "members and the version each has in force", status } },
        { "schema", { "schema", "every key with type, default and meaning", schemaList } },
        { "jobs",
            { "jobs ID [--watch]", "progress of a bulk job (needs --entry and a customer's key)", jobs } },
        { "cancel", { "cancel ID", "cancel a bulk job (needs --entry and a customer's key)", cancelJob } },
        { "explain",
            { "explain ID < LOGS", "what the logs of all processes tell of a request, batch job or item",
                explain } },
        { "losses",
            { "losses < LOGS", "where callers lost: by route, zone and reason, and over time", losses } },
        { "hash", { "hash SECRET", "SHA-256 of a key or token, as the tree keeps it", hash } },
    };
    return all;
}

std::string summary()
{
    std::string text = "Operators' command line.\n\nCommands:\n";
    for (const auto& [name, one] : commands())
        text += "  " + std::string(one.usage) + ": " + std::string(one.meaning) + "\n";
    return text
        + "\nExit codes: 0 done, 1 refused (diff: differences), 2 wrong usage, 3 conflict, 4 unreachable.";
}

std::string fromEnvironment(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

ctl_options parse(int argc, char** argv)
{
    TCLAP::CmdLine line(summary(), ' ', "0.1");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> admin(
        "", "admin", "host:port of the administration API", false, "127.0.0.1:9001", "address", line);
    TCLAP::ValueArg<std::string> entry(
        "", "entry", "host:port of an entry, for jobs", false, "127.0.0.1:8001", "address", line);
    TCLAP::ValueArg<std::string> note(
        "", "note", "reason of an edit, for the history", false, "", "text", line);
    TCLAP::ValueArg<int> wait("", "wait",
        "wait so long until an edit is in force everywhere, and list the members", false, 0, "milliseconds",
        line);
    TCLAP::SwitchArg watch("", "watch", "go on showing progress until the job ends", line);
    TCLAP::UnlabeledMultiArg<std::string> words(
        "command", "the command and its words", true, "command", line);
    line.parse(argc, argv);
    // Secrets come from the environment: a command line is visible to every user of the machine.
    return { admin.getValue(), entry.getValue(), fromEnvironment("YUCCACHUTE_TOKEN"),
        fromEnvironment("YUCCACHUTE_KEY"), note.getValue(), wait.getValue(), watch.getValue(),
        words.getValue() };
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const auto options = parse(argc, argv);
        const auto found = commands().find(options.words.front());
        if (found == commands().end())
            fail(exitUsage, "unknown command \"" + options.words.front() + "\"; see --help");
        return found->second.run(options);
    } catch (const stop_with& stop) {
        return stop.code;
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "yuccachutectl: " << error.error() << " (" << error.argId() << "); see --help\n";
        return exitUsage;
    } catch (const std::exception& error) {
        std::cerr << "yuccachutectl: unexpected answer: " << error.what() << '\n';
        return exitUnreachable;
    }
}
