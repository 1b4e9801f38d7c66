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
  publish FILE [--dry-run]     publish a release note; '-' reads standard input
  history                      list the accepted notes
  show N                       print the note of version N
  diff A B                     what changed from version A to version B
  wait N                       wait until version N is in force everywhere
  out zone|endpoint ID         take out of service (needs --author, --reason)
  in zone|endpoint ID          bring back into service (needs --author, --reason)
  quarantine                   list the requests that ran where an endpoint died
  release FINGERPRINT          let a quarantined request run again (needs --author, --reason)
  acts                         list every operator's act with its time
  status                       configuration, orders and endpoints
  top                          status as a live table

exit codes:
  0  done
  1  the command line is wrong
  2  the request is wrong or names something unknown
  3  conflict: the note's base is old, or another operator's order won
  4  no entry answered, or the platform's table did not; the outcome may be unknown
  5  the token is missing, unknown or may not do this
  6  the wait ended before the version was in force everywhere
)";

    po::options_description describeOptions()
    {
        po::options_description all("options");
        auto add = all.add_options();
        add("help", "print this text");
        add("version", "print the version");
        add("entry", po::value<std::vector<std::string>>()->composing(),
            "admin address of an entry; the next one is tried when one does not answer");
        add("token-file", po::value<std::string>(), "file with the bearer token; else TEASELFOLD_TOKEN is used");
        add("author", po::value<std::string>()->default_value(""), "who acts");
        add("reason", po::value<std::string>()->default_value(""), "why");
        add("json", po::bool_switch(), "print the entry's JSON");
        add("dry-run", po::bool_switch(), "publish: check only");
        add("timeout", po::value<std::string>()->default_value("30s"), "wait: longest wait, with a unit");
        add("interval", po::value<std::string>()->default_value("1s"), "wait, top: time between two reads");
        add("count", po::value<std::uint32_t>()->default_value(0), "top: number of reads; 0 for no end");
        return all;
    }

    std::optional<Milliseconds> parseDuration(const std::string& text)
    {
        constexpr long longest = 24L * 60 * 60;
        long value = 0;
        const char* end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        if (error != std::errc {} || value <= 0 || value > longest)
            return std::nullopt;
        const std::string unit(stop, end);
        if (unit == "ms")
            return Milliseconds(value);
        if (unit == "s")
            return Seconds(value);
        return std::nullopt;
    }

    EndNow usage(const std::string& problem)
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

    std::variant<Options, EndNow> collect(const po::variables_map& values)
    {
        Options options;
        if (values.count("command") == 0 || values.count("entry") == 0)
            return usage("a command and at least one --entry are needed");
        const auto words = values["command"].as<std::vector<std::string>>();
        options.command = words.front();
        options.arguments.assign(words.begin() + 1, words.end());
        for (const std::string& text : values["entry"].as<std::vector<std::string>>()) {
            const std::optional<Address> address = Internal::parseAddress(text);
            if (!address)
                return usage("--entry is IP:PORT, not '" + text + "'");
            options.entries.push_back(*address);
        }
        const std::optional<std::string> token = readToken(values);
        const auto timeout = parseDuration(values["timeout"].as<std::string>());
        const auto interval = parseDuration(values["interval"].as<std::string>());
        if (!token)
            return usage("the token file cannot be read");
        if (!timeout || !interval)
            return usage("a duration is a number with a unit, such as 500ms or 5s");
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

std::variant<Options, EndNow> parseOptions(int count, const char* const* words)
{
    const po::options_description visible = describeOptions();
    po::options_description all;
    all.add(visible);
    all.add_options()("command", po::value<std::vector<std::string>>(), "");
    po::positional_options_description positions;
    positions.add("command", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(count, words).options(all).positional(positions).run(), values);
        po::notify(values);
    } catch (const po::error& error) {
        return usage(error.what());
    }
    if (values.count("help") != 0) {
        std::ostringstream text;
        text << commandsText << "\n" << visible;
        return EndNow { text.str(), ExitCode::Done };
    }
    if (values.count("version") != 0)
        return EndNow { std::string("teaselfoldctl ") + TEASELFOLD_VERSION + "\n", ExitCode::Done };
    return collect(values);
}

}
