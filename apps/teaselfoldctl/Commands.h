#pragma once

#include "AdminClient.h"
#include "Options.h"

#include <set>

namespace teaselfold::Ctl {

/** The commands of the program, each a member found by its name. */
class Commands {
public:
    explicit Commands(const Options& options);

    /** Runs the command that the options name. */
    ExitCode run();

private:
    struct Row;

    ExitCode publish();
    ExitCode history();
    ExitCode show();
    ExitCode diff();
    ExitCode wait();
    ExitCode order();
    ExitCode quarantine();
    ExitCode release();
    ExitCode acts();
    ExitCode status();
    ExitCode top();

    /** @return the body that says who acts and why. */
    std::string explanation() const;
    ExitCode finish(const std::optional<Reply>& reply) const;
    std::optional<Reply> fetchNotes(std::uint64_t after, std::uint64_t last) const;
    std::set<std::string> whoLacks(std::uint64_t version) const;

    Options options;
    AdminClient client;
};

}
