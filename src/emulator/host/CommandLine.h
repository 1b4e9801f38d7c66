#pragma once

#include <boost/program_options.hpp>

#include <iostream>
#include <optional>

namespace teaselfold {

/**
 * Reads a command line that has `--help`.
 * @param exitCode set when the program is to end: 0 after the help text, 2 after a wrong option.
 * @return the values, or nothing when the program is to end.
 */
inline std::optional<boost::program_options::variables_map> readCommandLine(
    int count, const char* const* words, boost::program_options::options_description& options, int& exitCode)
{
    constexpr int usageError = 2;
    options.add_options()("help", "show this text and exit");
    boost::program_options::variables_map values;
    try {
        boost::program_options::store(boost::program_options::parse_command_line(count, words, options), values);
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
