#include "adapters/settings/CommandLine.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>

namespace teaselfold {

namespace {

    namespace Options = boost::program_options;

    /** Functions that load, print and document one settings struct. */
    template <typename Settings> struct SettingsFunctions {
        std::variant<Settings, std::vector<SettingProblem>> (*load)(
            const std::string&, const std::vector<SettingOverride>&);
        std::string (*print)(const Settings&);
        std::string (*describe)();
    };

    constexpr std::string_view exitCodeHelp = "Exit codes: 0 done, 1 failed while running, 2 wrong command line, "
                                              "3 wrong settings.\n";

    Options::options_description optionsDescription()
    {
        Options::options_description options("Options");
        auto add = options.add_options();
        add("help", "print this text and exit");
        add("version", "print the version and exit");
        add("config", Options::value<std::string>()->value_name("FILE"), "settings file, in YAML; required");
        add("set", Options::value<std::vector<std::string>>()->value_name("KEY=VALUE")->composing(),
            "a setting that overrides the file; may be repeated");
        add("check", "check the settings and exit");
        add("print-settings", "print the effective settings as YAML and exit");
        return options;
    }

    ProcessExit usageError(const ProgramInfo& program, const std::string& what)
    {
        return { ExitCode::BadUsage, "", program.name + ": " + what + "; see --help\n" };
    }

    std::variant<Options::variables_map, std::string> parseOptions(const std::vector<std::string>& arguments)
    {
        try {
            Options::variables_map values;
            const auto description = optionsDescription();
            const auto parsed = Options::command_line_parser(arguments).options(description).positional({}).run();
            Options::store(parsed, values);
            Options::notify(values);
            return values;
        } catch (const Options::error& error) {
            return std::string(error.what());
        }
    }

    std::string helpText(const ProgramInfo& program, const std::string& settings)
    {
        std::ostringstream text;
        text << "Usage: " << program.name << " --config FILE [options]\n\n"
             << optionsDescription() << "\nSettings:\n"
             << settings << "\n"
             << exitCodeHelp;
        return text.str();
    }

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return std::nullopt;
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        if (file.bad())
            return std::nullopt;
        return text;
    }

    /** @return the overrides, or nothing if one has no key. */
    std::optional<std::vector<SettingOverride>> parseOverrides(const Options::variables_map& values)
    {
        std::vector<SettingOverride> overrides;
        if (!values.count("set"))
            return overrides;
        for (const std::string& text : values["set"].as<std::vector<std::string>>()) {
            const std::size_t equals = text.find('=');
            if (equals == std::string::npos || equals == 0)
                return std::nullopt;
            overrides.push_back({ text.substr(0, equals), text.substr(equals + 1) });
        }
        return overrides;
    }

    template <typename Settings>
    std::variant<Settings, ProcessExit> loadFile(
        const ProgramInfo& program, const Options::variables_map& values, const SettingsFunctions<Settings>& functions)
    {
        const std::string path = values["config"].as<std::string>();
        const auto text = readFile(path);
        if (!text)
            return ProcessExit { ExitCode::BadSettings, "", program.name + ": cannot read " + path + "\n" };
        const auto overrides = parseOverrides(values);
        if (!overrides)
            return usageError(program, "--set takes KEY=VALUE");
        auto loaded = functions.load(*text, *overrides);
        if (const auto* problems = std::get_if<std::vector<SettingProblem>>(&loaded))
            return ProcessExit { ExitCode::BadSettings, "", path + ":\n" + describeProblems(*problems) };
        return std::move(*std::get_if<Settings>(&loaded));
    }

    template <typename Settings>
    std::variant<Settings, ProcessExit> readCommandLine(const ProgramInfo& program,
        const std::vector<std::string>& arguments, const SettingsFunctions<Settings>& functions)
    {
        const auto parsed = parseOptions(arguments);
        if (const auto* error = std::get_if<std::string>(&parsed))
            return usageError(program, *error);
        const auto& values = *std::get_if<Options::variables_map>(&parsed);
        if (values.count("help"))
            return ProcessExit { ExitCode::Done, helpText(program, functions.describe()), "" };
        if (values.count("version"))
            return ProcessExit { ExitCode::Done, program.name + " " + program.version + "\n", "" };
        if (!values.count("config"))
            return usageError(program, "--config is required");
        auto loaded = loadFile(program, values, functions);
        const auto* settings = std::get_if<Settings>(&loaded);
        if (settings && values.count("print-settings"))
            return ProcessExit { ExitCode::Done, functions.print(*settings), "" };
        if (settings && values.count("check"))
            return ProcessExit { ExitCode::Done, "settings: ok\n", "" };
        return loaded;
    }

}

std::variant<EntrySettings, ProcessExit> readEntryCommandLine(
    const ProgramInfo& program, const std::vector<std::string>& arguments)
{
    const SettingsFunctions<EntrySettings> functions { &loadEntrySettings, &printEntrySettings,
        &describeEntrySettings };
    return readCommandLine(program, arguments, functions);
}

std::variant<AgentSettings, ProcessExit> readAgentCommandLine(
    const ProgramInfo& program, const std::vector<std::string>& arguments)
{
    const SettingsFunctions<AgentSettings> functions { &loadAgentSettings, &printAgentSettings,
        &describeAgentSettings };
    return readCommandLine(program, arguments, functions);
}

std::variant<GatewaySettings, ProcessExit> readGatewayCommandLine(
    const ProgramInfo& program, const std::vector<std::string>& arguments)
{
    const SettingsFunctions<GatewaySettings> functions { &loadGatewaySettings, &printGatewaySettings,
        &describeGatewaySettings };
    return readCommandLine(program, arguments, functions);
}

int reportProcessExit(const ProcessExit& exit)
{
    std::cout << exit.output << std::flush;
    std::cerr << exit.errors << std::flush;
    return static_cast<int>(exit.code);
}

}
