#include "Commands.h"

#include "NoteFile.h"
#include "Printing.h"
#include "adapters/fleet/DocumentReader.h"

#include <Poco/Event.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iostream>
#include <sstream>

namespace teaselfold::Ctl {

namespace {

    std::optional<std::uint64_t> parseVersion(const std::string& text)
    {
        std::uint64_t value = 0;
        const char* end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        if (text.empty() || error != std::errc {} || stop != end)
            return std::nullopt;
        return value;
    }

    ExitCode usageError(const std::string& problem)
    {
        std::cerr << "teaselfoldctl: " << problem << "; see --help\n";
        return ExitCode::Usage;
    }

    std::string notesPath(std::uint64_t after) { return "/admin/notes?after=" + std::to_string(after); }

    std::string join(const std::set<std::string>& names)
    {
        std::string text;
        for (const std::string& name : names)
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

    std::string percentEncode(const std::string& text)
    {
        std::string encoded;
        Poco::URI::encode(text, "/?#&+", encoded);
        return encoded;
    }

    /** Blocks the thread without busy waiting. */
    void pauseFor(Milliseconds time) { Poco::Event().tryWait(static_cast<long>(time.count())); }

}

/** Maps the name of a command to its argument count and its handler. */
struct Commands::CommandMapping {
    std::string_view name;
    std::size_t argumentCount;
    ExitCode (Commands::*handler)();
};

Commands::Commands(const Options& options)
    : options(options)
    , client(options.entries, options.token)
{
}

ExitCode Commands::run()
{
    static constexpr std::array mappings {
        CommandMapping { "publish", 1, &Commands::publish },
        CommandMapping { "history", 0, &Commands::history },
        CommandMapping { "show", 1, &Commands::show },
        CommandMapping { "diff", 2, &Commands::diff },
        CommandMapping { "wait", 1, &Commands::wait },
        CommandMapping { "out", 2, &Commands::order },
        CommandMapping { "in", 2, &Commands::order },
        CommandMapping { "quarantine", 0, &Commands::quarantine },
        CommandMapping { "release", 1, &Commands::release },
        CommandMapping { "acts", 0, &Commands::auditLog },
        CommandMapping { "status", 0, &Commands::status },
        CommandMapping { "top", 0, &Commands::top },
    };
    const auto* mapping = std::find_if(mappings.begin(), mappings.end(),
        [&](const CommandMapping& candidate) { return candidate.name == this->options.command; });
    if (mapping == mappings.end())
        return usageError("unknown command '" + this->options.command + "'");
    if (mapping->argumentCount != this->options.arguments.size())
        return usageError(
            "'" + this->options.command + "' expects " + std::to_string(mapping->argumentCount) + " arguments");
    return (this->*mapping->handler)();
}

ExitCode Commands::reportReply(const std::optional<Reply>& reply) const
{
    if (!reply && this->options.json)
        std::cout << R"({"error":{"code":"unavailable","message":"no entry answered","run":"unknown"}})"
                  << "\n";
    if (!reply)
        std::cerr << "no entry answered; the outcome is unknown\n";
    else if (this->options.json)
        std::cout << reply->body;
    else if (!reply->isOk() && !reply->json.isNull())
        printError(*reply->json, std::cerr);
    return exitCodeOf(reply);
}

ExitCode Commands::publish()
{
    const std::optional<NoteFile> file = readNoteFile(this->options);
    if (!file)
        return usageError("cannot read the release note");
    const std::string path = this->options.dryRun ? "/admin/notes?dry_run=true" : "/admin/notes";
    const std::optional<Reply> reply = this->client.send({ "POST", path, file->text });
    const ExitCode code = this->reportReply(reply);
    if (this->options.json || !reply || reply->json.isNull())
        return code;
    if (reply->isOk())
        std::cout << (this->options.dryRun ? "would become version " : "accepted as version ")
                  << reply->json->optValue<std::string>("version", "?") << "\n";
    if (code != ExitCode::Conflict)
        return code;
    const std::optional<Reply> notes = this->client.send({ "GET", notesPath(file->base), "" });
    if (notes && notes->isOk()) {
        std::cerr << "accepted since version " << file->base << ":\n";
        printChanges(summarizeChanges(*notes->json->getArray("notes")), std::cerr);
    }
    return code;
}

ExitCode Commands::history()
{
    const std::optional<Reply> reply = this->fetchNotes(0, UINT64_MAX);
    if (reply && reply->isOk() && !this->options.json)
        printHistory(*reply->json->getArray("notes"), std::cout);
    return this->reportReply(reply);
}

ExitCode Commands::show()
{
    const auto version = parseVersion(this->options.arguments[0]);
    if (!version)
        return usageError("a version is a number");
    const std::optional<Reply> reply = this->client.send({ "GET", "/admin/notes/" + std::to_string(*version), "" });
    if (reply && reply->isOk() && !this->options.json) {
        constexpr unsigned indent = 2;
        reply->json->getArray("notes")->getObject(0)->stringify(std::cout, indent);
        std::cout << "\n";
    }
    return this->reportReply(reply);
}

ExitCode Commands::diff()
{
    const auto from = parseVersion(this->options.arguments[0]);
    const auto to = parseVersion(this->options.arguments[1]);
    if (!from || !to || *from >= *to)
        return usageError("diff takes two versions, the older one first");
    const std::optional<Reply> reply = this->fetchNotes(*from, *to);
    if (reply && reply->isOk() && !this->options.json)
        printChanges(summarizeChanges(*reply->json->getArray("notes")), std::cout);
    return this->reportReply(reply);
}

std::optional<Reply> Commands::fetchNotes(std::uint64_t after, std::uint64_t last) const
{
    Poco::JSON::Array::Ptr notes(new Poco::JSON::Array);
    std::uint64_t position = after;
    while (position < last) {
        std::optional<Reply> reply = this->client.send({ "GET", notesPath(position), "" });
        if (!reply || !reply->isOk() || reply->json.isNull())
            return reply;
        const Poco::JSON::Array::Ptr page = reply->json->getArray("notes");
        if (page.isNull() || page->size() == 0)
            break;
        for (const auto& item : *page) {
            position = item.extract<Poco::JSON::Object::Ptr>()->getValue<Poco::UInt64>("version");
            if (position <= last)
                notes->add(item);
        }
    }
    Reply merged;
    merged.status = 200;
    merged.json = new Poco::JSON::Object;
    merged.json->set("notes", notes);
    std::ostringstream text;
    merged.json->stringify(text);
    merged.body = text.str() + "\n";
    return merged;
}

std::set<std::string> Commands::findOutdated(std::uint64_t version) const
{
    std::set<std::string> outdated;
    std::set<std::string> upToDate;
    for (const Address& entry : this->client.addresses()) {
        const std::optional<Reply> reply = this->client.sendTo(entry, { "GET", "/admin/status", "" });
        const bool answered = reply && reply->isOk() && !reply->json.isNull();
        if (!answered || reply->json->optValue<Poco::UInt64>("version", 0) < version)
            outdated.insert("entry " + Internal::formatAddress(entry));
        if (!answered)
            continue;
        for (const auto& item : *reply->json->getArray("endpoints")) {
            const auto& endpoint = item.extract<Poco::JSON::Object::Ptr>();
            const std::string name = "endpoint " + endpoint->getValue<std::string>("id");
            const bool hasVersion = endpoint->optValue<Poco::UInt64>("version", 0) >= version;
            (hasVersion ? upToDate : outdated).insert(name);
        }
    }
    // An endpoint is up to date if any entry has seen the version on it: not every entry is linked to every endpoint.
    for (const std::string& name : upToDate)
        outdated.erase(name);
    return outdated;
}

ExitCode Commands::wait()
{
    const auto version = parseVersion(this->options.arguments[0]);
    if (!version)
        return usageError("a version is a number");
    const Instant deadline = std::chrono::steady_clock::now() + this->options.waitTimeout;
    std::set<std::string> outdated = this->findOutdated(*version);
    while (!outdated.empty() && std::chrono::steady_clock::now() < deadline) {
        std::cerr << "waiting for: " << join(outdated) << "\n";
        pauseFor(this->options.interval);
        outdated = this->findOutdated(*version);
    }
    if (this->options.json) {
        Poco::JSON::Array::Ptr names(new Poco::JSON::Array);
        for (const std::string& name : outdated)
            names->add(name);
        Poco::JSON::Object json;
        json.set("version", static_cast<Poco::UInt64>(*version));
        json.set("lacking", names);
        json.stringify(std::cout);
        std::cout << "\n";
    } else if (outdated.empty()) {
        std::cout << "version " << *version << " is in force everywhere\n";
    } else {
        std::cout << "version " << *version << " is not yet in force at: " << join(outdated) << "\n";
    }
    return outdated.empty() ? ExitCode::Done : ExitCode::TimedOut;
}

ExitCode Commands::order()
{
    const std::string& kind = this->options.arguments[0];
    const std::string& id = this->options.arguments[1];
    if (kind != "zone" && kind != "endpoint")
        return usageError("an order applies to a zone or an endpoint");
    if (this->options.author.empty() || this->options.reason.empty())
        return usageError("an order needs --author and --reason");
    const std::string path = "/admin/" + kind + "s/" + percentEncode(id) + "/" + this->options.command;
    const std::optional<Reply> reply = this->client.send({ "POST", path, this->authorAndReasonBody() });
    if (reply && reply->isOk() && !reply->json.isNull() && !this->options.json)
        std::cout << kind << " " << id << " " << this->options.command << ": "
                  << reply->json->optValue<std::string>("state", "") << "\n";
    return this->reportReply(reply);
}

std::string Commands::authorAndReasonBody() const
{
    Poco::JSON::Object body;
    body.set("author", this->options.author);
    body.set("reason", this->options.reason);
    std::ostringstream text;
    body.stringify(text);
    return text.str();
}

ExitCode Commands::quarantine()
{
    const std::optional<Reply> reply = this->client.send({ "GET", "/admin/quarantine", "" });
    if (reply && reply->isOk() && !reply->json.isNull() && !this->options.json)
        printSuspects(*reply->json, std::cout);
    return this->reportReply(reply);
}

ExitCode Commands::release()
{
    if (this->options.author.empty() || this->options.reason.empty())
        return usageError("a release needs --author and --reason");
    const std::string& fingerprint = this->options.arguments[0];
    const std::string path = "/admin/quarantine/" + percentEncode(fingerprint);
    const std::optional<Reply> reply = this->client.send({ "DELETE", path, this->authorAndReasonBody() });
    if (reply && reply->isOk() && !this->options.json)
        std::cout << "request " << fingerprint << " may run again\n";
    return this->reportReply(reply);
}

ExitCode Commands::auditLog()
{
    Poco::JSON::Array::Ptr records(new Poco::JSON::Array);
    std::string after;
    bool complete = true;
    do {
        const std::optional<Reply> reply
            = this->client.send({ "GET", "/admin/acts?after=" + percentEncode(after), "" });
        if (!reply || !reply->isOk() || reply->json.isNull())
            return this->reportReply(reply);
        for (const auto& item : *reply->json->getArray("acts"))
            records->add(item);
        complete = complete && reply->json->optValue("complete", true);
        after = reply->json->optValue<std::string>("next", "");
    } while (!after.empty());
    if (this->options.json) {
        Poco::JSON::Object json;
        json.set("acts", records);
        json.set("complete", complete);
        json.stringify(std::cout);
        std::cout << "\n";
    } else {
        printAuditLog(*records, std::cout);
    }
    if (!complete)
        std::cerr << "the platform's table does not answer; only actions not yet recorded there are listed\n";
    return complete ? ExitCode::Done : ExitCode::Unavailable;
}

ExitCode Commands::status()
{
    const std::optional<Reply> reply = this->client.send({ "GET", "/admin/status", "" });
    if (reply && reply->isOk() && !reply->json.isNull() && !this->options.json)
        printStatus(*reply->json, std::cout);
    return this->reportReply(reply);
}

ExitCode Commands::top()
{
    constexpr const char* clearScreen = "\x1b[H\x1b[2J";
    ExitCode code = ExitCode::Done;
    for (std::uint32_t iteration = 1;; ++iteration) {
        if (!this->options.json && this->options.count != 1)
            std::cout << clearScreen;
        code = this->status();
        std::cout.flush();
        if (this->options.count != 0 && iteration >= this->options.count)
            return code;
        pauseFor(this->options.interval);
    }
}

}
