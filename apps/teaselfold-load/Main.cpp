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

constexpr int answerErrorExitCode = 1;
constexpr int usageErrorExitCode = 2;

/** Option values as text, before parsing. */
struct RawOptions {
    std::vector<std::string> entries;
    std::vector<std::string> calls;
    std::string scheduleFile;
    std::string duration;
    std::string burstInterval;
    std::string silenceTimeout;
    std::string model;
    std::vector<std::string> teams;
    std::vector<std::string> comparedReports;
    std::string comparedReportGroup;
    std::string output;
    double lengthScale { 1 };
    std::uint32_t maxOutputTokens { 0 };
};

/** Logs an invalid option value. @return usageErrorExitCode. */
int reportBadOption(const std::string& option, const std::string& value)
{
    logLine(LogEvent { "bad_command_line", { { "option", option }, { "value", value } } });
    return usageErrorExitCode;
}

/** @return the lines of a schedule file without empty lines and comments. */
std::vector<std::string> readScheduleLines(const std::string& path)
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

// The parse functions below report an invalid value and return false.

bool parseSchedule(RawOptions& raw, LoadSettings& settings)
{
    const auto lines = readScheduleLines(raw.scheduleFile);
    raw.calls.insert(raw.calls.end(), lines.begin(), lines.end());
    for (const std::string& line : raw.calls) {
        const auto call = parseScheduledCall(line);
        if (!call)
            return reportBadOption("at", line) == 0;
        settings.schedule.push_back(*call);
    }
    std::stable_sort(settings.schedule.begin(), settings.schedule.end(),
        [](const ScheduledCall& left, const ScheduledCall& right) { return left.at < right.at; });
    return true;
}

bool parseEntries(const RawOptions& raw, LoadSettings& settings)
{
    for (const std::string& text : raw.entries) {
        const auto address = parseAddress(text);
        if (!address)
            return reportBadOption("entry", text) == 0;
        settings.target.entries.push_back(*address);
    }
    return !settings.target.entries.empty() || reportBadOption("entry", "") == 0;
}

/** Parses `name=share` pairs. Without any, the default teams are used. */
bool parseTeams(const RawOptions& raw, LoadSettings& settings)
{
    settings.workload.teams = defaultTeams();
    if (!raw.teams.empty())
        settings.workload.teams.clear();
    for (const std::string& text : raw.teams) {
        const std::size_t separator = text.find('=');
        const double share = separator == std::string::npos ? 1 : std::strtod(text.c_str() + separator + 1, nullptr);
        if (share <= 0)
            return reportBadOption("team", text) == 0;
        settings.workload.teams.push_back({ TeamId(text.substr(0, separator)), share });
    }
    return true;
}

bool parseDurations(const RawOptions& raw, LoadSettings& settings)
{
    const auto duration = parseDuration(raw.duration);
    const auto burst = parseDuration(raw.burstInterval);
    const auto readTimeout = parseDuration(raw.silenceTimeout);
    if (!duration || !burst || !readTimeout)
        return reportBadOption("duration", raw.duration + " " + raw.burstInterval + " " + raw.silenceTimeout) == 0;
    settings.workload.length = *duration;
    settings.workload.burstInterval = *burst;
    settings.target.readTimeout = std::chrono::duration_cast<Milliseconds>(*readTimeout);
    return true;
}

/** Prints the reports named by `--compare` side by side. @return the exit code. */
int printComparison(const RawOptions& raw)
{
    std::vector<ComparedRuns> comparedReports;
    for (const std::string& text : raw.comparedReports) {
        auto runs = readComparedRuns(text, raw.comparedReportGroup);
        if (!runs)
            return reportBadOption("compare", text);
        comparedReports.push_back(std::move(*runs));
    }
    writeComparison(std::cout, comparedReports);
    return 0;
}

options::options_description describeOptions(RawOptions& raw, LoadSettings& settings)
{
    options::options_description description(
        "teaselfold-load: generates load on entries and verifies each response\n"
        "exit codes: 0 success, 1 a response was lost or duplicated, 2 invalid option");
    auto add = description.add_options();
    WorkloadSettings& workload = settings.workload;
    add("entry", options::value(&raw.entries)->composing(), "IP:PORT of an entry; may be repeated");
    add("seed", options::value(&workload.seed)->default_value(1), "random seed of the arrival process");
    add("rate", options::value(&workload.requestsPerSecond)->default_value(5), "requests per second");
    add("length", options::value(&raw.duration)->default_value("20s"), "duration of the request arrivals");
    add("burst-every", options::value(&raw.burstInterval)->default_value("0s"), "time between bursts; 0s for none");
    add("burst-factor", options::value(&workload.burstFactor)->default_value(4),
        "factor on the request rate within a burst");
    add("model", options::value(&raw.model)->default_value("drafter"), "model to request");
    add("team", options::value(&raw.teams)->composing(), "name=share of the requests; may be repeated");
    add("bearer", options::value(&settings.target.bearerToken), "bearer token of the caller");
    add("restart-on-loss", options::bool_switch(&settings.target.restartOnLoss),
        "request a new generation when one is lost");
    add("silence", options::value(&raw.silenceTimeout)->default_value("30s"),
        "time without data after which a stream is resumed at another entry");
    add("clients", options::value(&settings.clientThreads)->default_value(256), "client threads");
    add("engine", options::value(&settings.engineUrls)->composing(),
        "http://IP:PORT of an engine to read statistics from; may be repeated");
    add("at", options::value(&raw.calls)->composing(),
        "scheduled call '<time> <method> <url> [<body>]'; may be repeated");
    add("schedule", options::value(&raw.scheduleFile), "file with one scheduled call per line");
    add("length-scale", options::value(&raw.lengthScale)->default_value(1), "factor on the output lengths");
    add("longest", options::value(&raw.maxOutputTokens)->default_value(16384), "maximum output length in tokens");
    add("disturbed", options::value(&settings.disturbedPrefix),
        "name prefix of the endpoints affected by scheduled faults");
    add("json", "print the report as JSON");
    add("output", options::value(&raw.output), "file to which the report is also written as JSON");
    add("compare", options::value(&raw.comparedReports)->multitoken(),
        "name=report.json[,report.json...]: sends no load; prints reports side by side with ratios to the first name");
    add("group", options::value(&raw.comparedReportGroup)->default_value("all"),
        "group of the reports to compare: all, elsewhere or disturbed");
    return description;
}

}

int main(int argc, char** argv)
{
    RawOptions raw;
    LoadSettings settings;
    auto description = describeOptions(raw, settings);
    int exitCode = 0;
    const auto parsedOptions = readCommandLine(argc, argv, description, exitCode);
    if (!parsedOptions)
        return exitCode;
    if (!raw.comparedReports.empty())
        return printComparison(raw);
    settings.workload.kinds = defaultKinds();
    shortenLengths(settings.workload.kinds, raw.lengthScale, raw.maxOutputTokens);
    settings.workload.model = ModelId(raw.model);
    const bool usable = parseEntries(raw, settings) && parseTeams(raw, settings) && parseDurations(raw, settings)
        && parseSchedule(raw, settings) && raw.lengthScale > 0 && raw.maxOutputTokens > 0
        && settings.workload.requestsPerSecond > 0 && settings.clientThreads > 0;
    if (!usable)
        return usageErrorExitCode;
    const LoadResult result = runLoad(settings);
    if (!raw.output.empty()) {
        std::ofstream file(raw.output);
        writeJson(file, result);
    }
    if (parsedOptions->count("json") != 0)
        writeJson(std::cout, result);
    else
        writeText(std::cout, result);
    return allAnswersIntact(result) ? 0 : answerErrorExitCode;
}
