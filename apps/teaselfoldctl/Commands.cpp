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

    ExitCode usage(const std::string& problem)
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

    std::string encodePart(const std::string& text)
    {
        std::string encoded;
        Poco::URI::encode(text, "/?#&+", encoded);
        return encoded;
    }

    /** Waits for a time without using the processor. */
    void pauseFor(Milliseconds time) { Poco::Event().tryWait(static_cast<long>(time.count())); }

}

/** A command's name, the numbers of its arguments and the member that runs it. */
struct Commands::Row {
    std::string_view name;
    std::size_t arguments;
    ExitCode (Commands::*handler)();
};

Commands::Commands(const Options& options)
    : options(options)
    , client(options.entries, options.token)
{
}

ExitCode Commands::run()
{
    static constexpr std::array rows {
        Row { "publish", 1, &Commands::publish },
        Row { "history", 0, &Commands::history },
        Row { "show", 1, &Commands::show },
        Row { "diff", 2, &Commands::diff },
        Row { "wait", 1, &Commands::wait },
        Row { "out", 2, &Commands::order },
        Row { "in", 2, &Commands::order },
        Row { "quarantine", 0, &Commands::quarantine },
        Row { "release", 1, &Commands::release },
        Row { "acts", 0, &Commands::acts },
        Row { "status", 0, &Commands::status },
        Row { "top", 0, &Commands::top },
    };
    const auto* row = std::find_if(
        rows.begin(), rows.end(), [&](const Row& candidate) { return candidate.name == this->options.command; });
    if (row == rows.end())
        return usage("there is no command '" + this->options.command + "'");
    if (row->arguments != this->options.arguments.size())
        return usage("'" + this->options.command + "' takes " + std::to_string(row->arguments) + " arguments");
    return (this->*row->handler)();
}

ExitCode Commands::finish(const std::optional<Reply>& reply) const
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
        return usage("the note cannot be read");
    const std::string path = this->options.dryRun ? "/admin/notes?dry_run=true" : "/admin/notes";
    const std::optional<Reply> reply = this->client.send({ "POST", path, file->text });
    const ExitCode code = this->finish(reply);
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
        printChanges(summarize(*notes->json->getArray("notes")), std::cerr);
    }
    return code;
}

ExitCode Commands::history()
{
    const std::optional<Reply> reply = this->fetchNotes(0, UINT64_MAX);
    if (reply && reply->isOk() && !this->options.json)
        printHistory(*reply->json->getArray("notes"), std::cout);
    return this->finish(reply);
}

ExitCode Commands::show()
{
    const auto version = parseVersion(this->options.arguments[0]);
    if (!version)
        return usage("a version is a number");
    const std::optional<Reply> reply = this->client.send({ "GET", "/admin/notes/" + std::to_string(*version), "" });
    if (reply && reply->isOk() && !this->options.json) {
        constexpr unsigned indent = 2;
        reply->json->getArray("notes")->getObject(0)->stringify(std::cout, indent);
        std::cout << "\n";
    }
    return this->finish(reply);
}

ExitCode Commands::diff()
{
    const auto from = parseVersion(this->options.arguments[0]);
    const auto to = parseVersion(this->options.arguments[1]);
    if (!from || !to || *from >= *to)
        return usage("diff takes two versions, the older one first");
    const std::optional<Reply> reply = this->fetchNotes(*from, *to);
    if (reply && reply->isOk() && !this->options.json)
        printChanges(summarize(*reply->json->getArray("notes")), std::cout);
    return this->finish(reply);
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
    Reply whole;
    whole.status = 200;
    whole.json = new Poco::JSON::Object;
    whole.json->set("notes", notes);
    std::ostringstream text;
    whole.json->stringify(text);
    whole.body = text.str() + "\n";
    return whole;
}

std::set<std::string> Commands::whoLacks(std::uint64_t version) const
{
    std::set<std::string> lacking;
    std::set<std::string> current;
    for (const Address& entry : this->client.addresses()) {
        const std::optional<Reply> reply = this->client.sendTo(entry, { "GET", "/admin/status", "" });
        const bool known = reply && reply->isOk() && !reply->json.isNull();
        if (!known || reply->json->optValue<Poco::UInt64>("version", 0) < version)
            lacking.insert("entry " + Internal::formatAddress(entry));
        if (!known)
            continue;
        for (const auto& item : *reply->json->getArray("endpoints")) {
            const auto& endpoint = item.extract<Poco::JSON::Object::Ptr>();
            const std::string name = "endpoint " + endpoint->getValue<std::string>("id");
            const bool has = endpoint->optValue<Poco::UInt64>("version", 0) >= version;
            (has ? current : lacking).insert(name);
        }
    }
    // An endpoint that one entry does not see may have told another.
    for (const std::string& name : current)
        lacking.erase(name);
    return lacking;
}

ExitCode Commands::wait()
{
    const auto version = parseVersion(this->options.arguments[0]);
    if (!version)
        return usage("a version is a number");
    const Instant until = std::chrono::steady_clock::now() + this->options.waitTimeout;
    std::set<std::string> lacking = this->whoLacks(*version);
    while (!lacking.empty() && std::chrono::steady_clock::now() < until) {
        std::cerr << "still lacking: " << join(lacking) << "\n";
        pauseFor(this->options.interval);
        lacking = this->whoLacks(*version);
    }
    if (this->options.json) {
        Poco::JSON::Array::Ptr names(new Poco::JSON::Array);
        for (const std::string& name : lacking)
            names->add(name);
        Poco::JSON::Object json;
        json.set("version", static_cast<Poco::UInt64>(*version));
        json.set("lacking", names);
        json.stringify(std::cout);
        std::cout << "\n";
    } else if (lacking.empty()) {
        std::cout << "version " << *version << " is in force everywhere\n";
    } else {
        std::cout << "version " << *version << " is lacking at: " << join(lacking) << "\n";
    }
    return lacking.empty() ? ExitCode::Done : ExitCode::TimedOut;
}

ExitCode Commands::order()
{
    const std::string& kind = this->options.arguments[0];
    const std::string& id = this->options.arguments[1];
    if (kind != "zone" && kind != "endpoint")
        return usage("an order applies to a zone or an endpoint");
    if (this->options.author.empty() || this->options.reason.empty())
        return usage("an order needs --author and --reason");
    const std::string path = "/admin/" + kind + "s/" + encodePart(id) + "/" + this->options.command;
    const std::optional<Reply> reply = this->client.send({ "POST", path, this->explanation() });
    if (reply && reply->isOk() && !reply->json.isNull() && !this->options.json)
        std::cout << kind << " " << id << " " << this->options.command << ": "
                  << reply->json->optValue<std::string>("state", "") << "\n";
    return this->finish(reply);
}

std::string Commands::explanation() const
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
    return this->finish(reply);
}

ExitCode Commands::release()
{
    if (this->options.author.empty() || this->options.reason.empty())
        return usage("a release needs --author and --reason");
    const std::string& fingerprint = this->options.arguments[0];
    const std::string path = "/admin/quarantine/" + encodePart(fingerprint);
    const std::optional<Reply> reply = this->client.send({ "DELETE", path, this->explanation() });
    if (reply && reply->isOk() && !this->options.json)
        std::cout << "request " << fingerprint << " may run again\n";
    return this->finish(reply);
}

ExitCode Commands::acts()
{
    Poco::JSON::Array::Ptr acts(new Poco::JSON::Array);
    std::string after;
    bool complete = true;
    do {
        const std::optional<Reply> reply = this->client.send({ "GET", "/admin/acts?after=" + encodePart(after), "" });
        if (!reply || !reply->isOk() || reply->json.isNull())
            return this->finish(reply);
        for (const auto& item : *reply->json->getArray("acts"))
            acts->add(item);
        complete = complete && reply->json->optValue("complete", true);
        after = reply->json->optValue<std::string>("next", "");
    } while (!after.empty());
    if (this->options.json) {
        Poco::JSON::Object json;
        json.set("acts", acts);
        json.set("complete", complete);
        json.stringify(std::cout);
        std::cout << "\n";
    } else {
        printActs(*acts, std::cout);
    }
    if (!complete)
        std::cerr << "the platform's table does not answer; only acts that it has not recorded are listed\n";
    return complete ? ExitCode::Done : ExitCode::Unavailable;
}

ExitCode Commands::status()
{
    const std::optional<Reply> reply = this->client.send({ "GET", "/admin/status", "" });
    if (reply && reply->isOk() && !reply->json.isNull() && !this->options.json)
        printStatus(*reply->json, std::cout);
    return this->finish(reply);
}

ExitCode Commands::top()
{
    constexpr const char* clearScreen = "\x1b[H\x1b[2J";
    ExitCode code = ExitCode::Done;
    for (std::uint32_t read = 1;; ++read) {
        if (!this->options.json && this->options.count != 1)
            std::cout << clearScreen;
        code = this->status();
        std::cout.flush();
        if (this->options.count != 0 && read >= this->options.count)
            return code;
        pauseFor(this->options.interval);
    }
}

}
