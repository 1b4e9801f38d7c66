#pragma once

#include "AdminClient.h"
#include "Options.h"

#include <set>

namespace teaselfold::Ctl {

/** Implements the commands; a table maps each command name to a member function. */
class Commands {
public:
    explicit Commands(const Options& options);

    /** Runs the command named in the options. @return the exit code. */
    ExitCode run();

private:
    struct CommandMapping;

    ExitCode publish();
    ExitCode history();
    ExitCode show();
    ExitCode diff();
    ExitCode wait();
    ExitCode order();
    ExitCode quarantine();
    ExitCode release();
    ExitCode auditLog();
    ExitCode status();
    ExitCode top();

    /** @return a JSON request body with the author and the reason. */
    std::string authorAndReasonBody() const;
    /** Prints the JSON body or the error of a reply. @return the exit code for the reply. */
    ExitCode reportReply(const std::optional<Reply>& reply) const;
    /** @return the notes with versions in (after, last], merged from all pages, or the first failed reply. */
    std::optional<Reply> fetchNotes(std::uint64_t after, std::uint64_t last) const;
    /** @return the entries and endpoints that have not reached the version or whose version is unknown. */
    std::set<std::string> findOutdated(std::uint64_t version) const;

    Options options;
    AdminClient client;
};

}
