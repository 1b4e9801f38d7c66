#pragma once

#include <boost/program_options.hpp>

#include <iostream>
#include <optional>

namespace teaselfold {

/**
 * Parses a command line and adds the option `--help`.
 * @param exitCode set if the program must exit: 0 after printing the help text, 2 after an invalid option.
 * @return the option values, or nothing if the program must exit.
 */
inline std::optional<boost::program_options::variables_map> readCommandLine(int argumentCount,
    const char* const* arguments, boost::program_options::options_description& options, int& exitCode)
{
    constexpr int usageError = 2;
    options.add_options()("help", "show this text and exit");
    boost::program_options::variables_map values;
    try {
        boost::program_options::store(
            boost::program_options::parse_command_line(argumentCount, arguments, options), values);
        boost::program_options::notify(values);
    } catch (const boost::program_options::error& error) {
        std::cerr << "event=bad_command_line error=\"" << error.what() << "\"\n" << options;
        exitCode = usageError;
        return std::nullopt;
    }
    if (values.count("help") == 0)
        return values;
    std::cout << options;
    exitCode = 0;
    return std::nullopt;
}

}
