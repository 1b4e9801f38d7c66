#include "emulator/host/CommandLine.h"
#include "emulator/host/EmulatorHttpServer.h"
#include "emulator/host/LogLine.h"
#include "emulator/load/LoadComparison.h"
#include "emulator/load/LoadReport.h"

#include <algorithm>
#include <fstream>

using namespace teaselfold;
namespace options = boost::program_options;

namespace {

constexpr int unsoundExit = 1;
constexpr int usageExit = 2;

/** The command line as it was given. */
struct Words {
    std::vector<std::string> entries;
    std::vector<std::string> calls;
    std::string scheduleFile;
    std::string length;
    std::string burstEvery;
    std::string readTimeout;
    std::string model;
    std::vector<std::string> teams;
    std::vector<std::string> compared;
    std::string comparedGroup;
    std::string output;
    double lengthScale { 1 };
    std::uint32_t longest { 0 };
};

int refuse(const std::string& option, const std::string& value)
{
    logLine(LogEvent { "bad_command_line", { { "option", option }, { "value", value } } });
    return usageExit;
}

/** @return the lines of a schedule file that hold a call. */
std::vector<std::string> readLines(const std::string& path)
{
    std::vector<std::string> lines;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        if (!line.empty() && line.front() != '#')
            lines.push_back(line);
    }
    return lines;
}

bool takeSchedule(Words& words, LoadSettings& settings)
{
    const auto lines = readLines(words.scheduleFile);
    words.calls.insert(words.calls.end(), lines.begin(), lines.end());
    for (const std::string& line : words.calls) {
        const auto call = parseScheduledCall(line);
        if (!call)
            return refuse("at", line) == 0;
        settings.schedule.push_back(*call);
    }
    std::stable_sort(settings.schedule.begin(), settings.schedule.end(),
        [](const ScheduledCall& left, const ScheduledCall& right) { return left.at < right.at; });
    return true;
}

bool takeEntries(const Words& words, LoadSettings& settings)
{
    for (const std::string& text : words.entries) {
        const auto address = parseAddress(text);
        if (!address)
            return refuse("entry", text) == 0;
        settings.target.entries.push_back(*address);
    }
    return !settings.target.entries.empty() || refuse("entry", "") == 0;
}

/** Takes `name=share` pairs; the default teams when there are none. */
bool takeTeams(const Words& words, LoadSettings& settings)
{
    settings.workload.teams = defaultTeams();
    if (!words.teams.empty())
        settings.workload.teams.clear();
    for (const std::string& text : words.teams) {
        const std::size_t mark = text.find('=');
        const double share = mark == std::string::npos ? 1 : std::strtod(text.c_str() + mark + 1, nullptr);
        if (share <= 0)
            return refuse("team", text) == 0;
        settings.workload.teams.push_back({ TeamId(text.substr(0, mark)), share });
    }
    return true;
}

bool takeDurations(const Words& words, LoadSettings& settings)
{
    const auto length = parseDuration(words.length);
    const auto burst = parseDuration(words.burstEvery);
    const auto readTimeout = parseDuration(words.readTimeout);
    if (!length || !burst || !readTimeout)
        return refuse("duration", words.length + " " + words.burstEvery + " " + words.readTimeout) == 0;
    settings.workload.length = *length;
    settings.workload.burstEvery = *burst;
    settings.target.readTimeout = std::chrono::duration_cast<Milliseconds>(*readTimeout);
    return true;
}

/** Prints reports side by side. @return the exit code. */
int compare(const Words& words)
{
    std::vector<ComparedRuns> compared;
    for (const std::string& text : words.compared) {
        auto runs = readComparedRuns(text, words.comparedGroup);
        if (!runs)
            return refuse("compare", text);
        compared.push_back(std::move(*runs));
    }
    writeComparison(std::cout, compared);
    return 0;
}

options::options_description describe(Words& words, LoadSettings& settings)
{
    options::options_description description(
        "teaselfold-load: sends load to entries and checks each answer\n"
        "exit code: 0, 1 when an answer was lost or doubled, 2 for a wrong option");
    auto add = description.add_options();
    WorkloadSettings& workload = settings.workload;
    add("entry", options::value(&words.entries)->composing(), "ip:port of an entry; may be repeated");
    add("seed", options::value(&workload.seed)->default_value(1), "seed of the arrivals");
    add("rate", options::value(&workload.requestsPerSecond)->default_value(5), "requests a second");
    add("length", options::value(&words.length)->default_value("20s"), "time in which requests arrive");
    add("burst-every", options::value(&words.burstEvery)->default_value("0s"), "time between bursts; 0s for none");
    add("burst-factor", options::value(&workload.burstFactor)->default_value(4), "rate within a burst");
    add("model", options::value(&words.model)->default_value("drafter"), "model to ask for");
    add("team", options::value(&words.teams)->composing(), "name=share; may be repeated");
    add("bearer", options::value(&settings.target.bearerToken), "caller's token");
    add("restart-on-loss", options::bool_switch(&settings.target.restartOnLoss), "ask for a new generation on loss");
    add("silence", options::value(&words.readTimeout)->default_value("30s"), "silence after which to resume elsewhere");
    add("clients", options::value(&settings.clientThreads)->default_value(256), "client threads");
    add("engine", options::value(&settings.engineUrls)->composing(), "http://ip:port of an engine to read; repeated");
    add("at", options::value(&words.calls)->composing(), "'<time> <method> <url> [<body>]'; repeated");
    add("schedule", options::value(&words.scheduleFile), "file with one such call a line");
    add("length-scale", options::value(&words.lengthScale)->default_value(1), "factor on the output lengths");
    add("longest", options::value(&words.longest)->default_value(16384), "longest output in tokens");
    add("disturbed", options::value(&settings.disturbedPrefix), "prefix of the endpoints that the schedule disturbs");
    add("json", "write the report as JSON");
    add("output", options::value(&words.output), "file that gets the report as JSON, whatever is printed");
    add("compare", options::value(&words.compared)->multitoken(),
        "name=report.json[,report.json...]: sends nothing, prints reports side by side, ratios to the first name");
    add("group", options::value(&words.comparedGroup)->default_value("all"),
        "group of the reports to compare: all, elsewhere or disturbed");
    return description;
}

}

int main(int argc, char** argv)
{
    Words words;
    LoadSettings settings;
    auto description = describe(words, settings);
    int exitCode = 0;
    const auto values = readCommandLine(argc, argv, description, exitCode);
    if (!values)
        return exitCode;
    if (!words.compared.empty())
        return compare(words);
    settings.workload.kinds = defaultKinds();
    shortenLengths(settings.workload.kinds, words.lengthScale, words.longest);
    settings.workload.model = ModelId(words.model);
    const bool usable = takeEntries(words, settings) && takeTeams(words, settings) && takeDurations(words, settings)
        && takeSchedule(words, settings) && words.lengthScale > 0 && words.longest > 0
        && settings.workload.requestsPerSecond > 0 && settings.clientThreads > 0;
    if (!usable)
        return usageExit;
    const LoadResult result = runLoad(settings);
    if (!words.output.empty()) {
        std::ofstream file(words.output);
        writeJson(file, result);
    }
    if (values->count("json") != 0)
        writeJson(std::cout, result);
    else
        writeText(std::cout, result);
    return allAnswersIntact(result) ? 0 : unsoundExit;
}
