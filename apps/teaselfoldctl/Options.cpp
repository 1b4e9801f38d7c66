#include "Options.h"

#include "adapters/fleet/DocumentReader.h"

#include <boost/program_options.hpp>

#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>

namespace teaselfold::Ctl {

namespace {

    namespace po = boost::program_options;

    constexpr const char* commandsText = R"(usage: teaselfoldctl --entry IP:PORT [--entry IP:PORT ...] COMMAND [options]

commands:
  publish FILE [--dry-run]     publish a release note; '-' for standard input
  history                      list the accepted release notes
  show N                       print the release note of version N
  diff A B                     list the changes from version A to version B
  wait N                       wait until version N is in force everywhere
  out zone|endpoint ID         take out of service (needs --author, --reason)
  in zone|endpoint ID          bring back into service (needs --author, --reason)
  quarantine                   list the requests that were running when an endpoint died
  release FINGERPRINT          release a request from quarantine (needs --author, --reason)
  acts                         print the audit log of operator actions
  status                       show the configuration, orders and endpoints
  top                          show the status as a live table

exit codes:
  0  done
  1  invalid command line
  2  invalid request, or an unknown object in it
  3  conflict: the note's base is outdated, or a concurrent order took precedence
  4  no entry answered, or the platform's table is unreachable; the outcome may be unknown
  5  the token is missing, unknown or lacks the permission
  6  timeout before the version was in force everywhere
)";

    po::options_description describeOptions()
    {
        po::options_description all("options");
        auto add = all.add_options();
        add("help", "print this text");
        add("version", "print the version");
        add("entry", po::value<std::vector<std::string>>()->composing(),
            "admin address of an entry; may be repeated for failover");
        add("token-file", po::value<std::string>(),
            "file with the bearer token; default: the environment variable TEASELFOLD_TOKEN");
        add("author", po::value<std::string>()->default_value(""), "author recorded with the change");
        add("reason", po::value<std::string>()->default_value(""), "reason recorded with the change");
        add("json", po::bool_switch(), "print the JSON response");
        add("dry-run", po::bool_switch(), "publish: validate only");
        add("timeout", po::value<std::string>()->default_value("30s"), "wait: timeout with a unit");
        add("interval", po::value<std::string>()->default_value("1s"), "wait, top: polling interval");
        add("count", po::value<std::uint32_t>()->default_value(0), "top: number of refreshes; 0 for no limit");
        return all;
    }

    std::optional<Milliseconds> parseDuration(const std::string& text)
    {
        constexpr long maxValue = 24L * 60 * 60;
        long value = 0;
        const char* end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        if (error != std::errc {} || value <= 0 || value > maxValue)
            return std::nullopt;
        const std::string unit(stop, end);
        if (unit == "ms")
            return Milliseconds(value);
        if (unit == "s")
            return Seconds(value);
        return std::nullopt;
    }

    EarlyExit usageError(const std::string& problem)
    {
        return { "teaselfoldctl: " + problem + "; see --help\n", ExitCode::Usage };
    }

    std::optional<std::string> readToken(const po::variables_map& values)
    {
        if (values.count("token-file") == 0) {
            const char* token = std::getenv("TEASELFOLD_TOKEN");
            return token == nullptr ? "" : token;
        }
        std::ifstream file(values["token-file"].as<std::string>());
        std::string token;
        if (!std::getline(file, token))
            return std::nullopt;
        return token;
    }

    std::variant<Options, EarlyExit> readOptions(const po::variables_map& values)
    {
        Options options;
        if (values.count("command") == 0 || values.count("entry") == 0)
            return usageError("a command and at least one --entry are required");
        const auto commandWords = values["command"].as<std::vector<std::string>>();
        options.command = commandWords.front();
        options.arguments.assign(commandWords.begin() + 1, commandWords.end());
        for (const std::string& text : values["entry"].as<std::vector<std::string>>()) {
            const std::optional<Address> address = Internal::parseAddress(text);
            if (!address)
                return usageError("--entry must be IP:PORT, not '" + text + "'");
            options.entries.push_back(*address);
        }
        const std::optional<std::string> token = readToken(values);
        const auto timeout = parseDuration(values["timeout"].as<std::string>());
        const auto interval = parseDuration(values["interval"].as<std::string>());
        if (!token)
            return usageError("cannot read the token file");
        if (!timeout || !interval)
            return usageError("a duration must be a number with a unit, such as 500ms or 5s");
        options.token = *token;
        options.waitTimeout = *timeout;
        options.interval = *interval;
        options.author = values["author"].as<std::string>();
        options.reason = values["reason"].as<std::string>();
        options.json = values["json"].as<bool>();
        options.dryRun = values["dry-run"].as<bool>();
        options.count = values["count"].as<std::uint32_t>();
        return options;
    }

}

std::variant<Options, EarlyExit> parseOptions(int argc, const char* const* argv)
{
    const po::options_description visible = describeOptions();
    po::options_description all;
    all.add(visible);
    all.add_options()("command", po::value<std::vector<std::string>>(), "");
    po::positional_options_description positions;
    positions.add("command", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
        po::notify(values);
    } catch (const po::error& error) {
        return usageError(error.what());
    }
    if (values.count("help") != 0) {
        std::ostringstream text;
        text << commandsText << "\n" << visible;
        return EarlyExit { text.str(), ExitCode::Done };
    }
    if (values.count("version") != 0)
        return EarlyExit { std::string("teaselfoldctl ") + TEASELFOLD_VERSION + "\n", ExitCode::Done };
    return readOptions(values);
}

}
