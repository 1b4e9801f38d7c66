#include "support/Story.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace teaselfold::testing {

namespace {

    using Words = std::vector<std::string>;

    Words splitWords(const std::string& line)
    {
        Words words;
        std::string word;
        bool quoted = false;
        for (const char c : line) {
            if (c == '"')
                quoted = !quoted;
            else if (c == ' ' && !quoted) {
                if (!word.empty())
                    words.push_back(std::move(word));
                word.clear();
            } else
                word += c;
        }
        if (!word.empty())
            words.push_back(std::move(word));
        return words;
    }

    std::string joinWords(const Words& words)
    {
        std::string text;
        for (const auto& word : words) {
            const bool quoted = word.find(' ') != std::string::npos;
            text += (text.empty() ? "" : " ") + (quoted ? '"' + word + '"' : word);
        }
        return text;
    }

    Milliseconds parseTime(const std::string& word)
    {
        const auto count = std::stol(word);
        return word.ends_with("ms") ? Milliseconds(count) : Seconds(count);
    }

    std::string option(const Words& words, const std::string& name)
    {
        for (const auto& word : words) {
            if (word.starts_with(name + "="))
                return word.substr(name.size() + 1);
        }
        return {};
    }

    bool contains(const Words& words, const std::string& word)
    {
        return std::find(words.begin(), words.end(), word) != words.end();
    }

    OrderSubject parseSubject(const std::string& name)
    {
        if (name.size() == 1)
            return ZoneId(name);
        return EndpointId(name);
    }

    Milliseconds parseBudget(const Words& words)
    {
        const std::string given = option(words, "budget");
        return given.empty() ? Milliseconds(Seconds(60)) : parseTime(given);
    }

    /** @return a release note that adds a team named after the note. */
    ReleaseNote makeNote(const std::string& id, std::uint64_t base)
    {
        ReleaseNote note;
        note.id = NoteId(id);
        note.base = ReleaseVersion(base);
        note.author = "operator";
        note.reason = "drill";
        note.changes.push_back(Put<Team> { { TeamId("team-" + id), 1, 1000, "" } });
        return note;
    }

    /** Executes steps of the form `<command> <arguments>` and `<actor> <command> <arguments>`. */
    class StoryRunner {
    public:
        explicit StoryRunner(std::uint64_t seed)
            : fleet(seed)
        {
        }

        void runStep(const Words& words)
        {
            const auto command = commands().find(words[0]);
            if (command != commands().end())
                return (this->*command->second)(words);
            const auto actorCommand = words.size() > 1 ? actorCommands().find(words[1]) : actorCommands().end();
            REQUIRE_MESSAGE(actorCommand != actorCommands().end(), "unknown step: " << words[0]);
            (this->*actorCommand->second)(words);
        }

        SimulatedFleet fleet;

    private:
        using Command = void (StoryRunner::*)(const Words&);

        static const std::map<std::string, Command>& commands()
        {
            static const std::map<std::string, Command> table {
                { "start", &StoryRunner::start },
                { "kill", &StoryRunner::kill },
                { "pause", &StoryRunner::pause },
                { "continue", &StoryRunner::resume },
                { "stop", &StoryRunner::stop },
                { "leaving", &StoryRunner::leaving },
                { "silence", &StoryRunner::silence },
                { "cut", &StoryRunner::cut },
                { "block", &StoryRunner::block },
                { "unblock", &StoryRunner::unblock },
                { "engine", &StoryRunner::engine },
                { "service", &StoryRunner::service },
                { "platform", &StoryRunner::platform },
                { "listed", &StoryRunner::listed },
            };
            return table;
        }

        static const std::map<std::string, Command>& actorCommands()
        {
            static const std::map<std::string, Command> table {
                { "asks", &StoryRunner::asks },
                { "resumes", &StoryRunner::resumes },
                { "calls", &StoryRunner::calls },
                { "leaves", &StoryRunner::leaves },
                { "takes-out", &StoryRunner::takesOut },
                { "brings-back", &StoryRunner::bringsBack },
                { "publishes", &StoryRunner::publishes },
            };
            return table;
        }

        void start(const Words& words)
        {
            for (std::size_t i = 1; i < words.size(); ++i) {
                if (words[i] == "x" || words[i] == "y")
                    this->fleet.startEntry(words[i]);
                else
                    this->fleet.startAgent(words[i]);
            }
        }
        void kill(const Words& words) { this->fleet.killProcess(words.at(1)); }
        void pause(const Words& words) { this->fleet.pauseProcess(words.at(1)); }
        void resume(const Words& words) { this->fleet.resumeProcess(words.at(1)); }
        void stop(const Words& words) { this->fleet.stopProcess(words.at(1)); }
        void leaving(const Words& words) { this->fleet.sendLeavingNotice(words.at(1)); }
        void silence(const Words& words) { this->fleet.silenceLink(words.at(1), words.at(2)); }
        void cut(const Words& words) { this->fleet.cutLink(words.at(1), words.at(2)); }
        void block(const Words& words) { this->fleet.blockLink(words.at(1), words.at(2)); }
        void unblock(const Words& words) { this->fleet.unblockLink(words.at(1), words.at(2)); }
        void listed(const Words& words) { this->fleet.setLeavingInList(words.at(1), words.at(2) == "leaving"); }
        void service(const Words& words) { this->fleet.loseServiceAnswers(words.at(1), words.at(2) == "loses"); }

        void engine(const Words& words)
        {
            static const std::map<std::string, void (SimulatedFleet::*)(const std::string&)> faults {
                { "dies", &SimulatedFleet::killEngine },
                { "starts", &SimulatedFleet::startEngine },
                { "cut", &SimulatedFleet::cutEngineStreams },
                { "freezes", &SimulatedFleet::freezeEngine },
                { "thaws", &SimulatedFleet::thawEngine },
                { "restarts", &SimulatedFleet::restartEngine },
                { "turns-cold", &SimulatedFleet::loseEngineCaches },
                { "holds-reports", &SimulatedFleet::holdReports },
                { "releases-reports", &SimulatedFleet::releaseReports },
            };
            (this->fleet.*faults.at(words.at(2)))(words.at(1));
        }

        void platform(const Words& words)
        {
            static const std::map<std::string, FakePlatform::Mode> modes {
                { "up", FakePlatform::Mode::Up },
                { "down", FakePlatform::Mode::Down },
                { "loses-answers", FakePlatform::Mode::LoseAnswers },
                { "slow", FakePlatform::Mode::Slow },
            };
            this->fleet.setPlatform(modes.at(words.at(1)));
        }

        void asks(const Words& words)
        {
            const OnEngineLoss onLoss = contains(words, "restart") ? OnEngineLoss::Restart : OnEngineLoss::Fail;
            const auto ask = [&](const std::string& caller) {
                this->fleet.requestCompletion(caller, words.at(2), words.at(3), contains(words, "stream"), onLoss,
                    parseBudget(words), option(words, "team"));
            };
            const std::string times = option(words, "times");
            if (times.empty() || !option(words, "every").empty())
                return ask(words[0]);
            for (unsigned long i = 1; i <= std::stoul(times); ++i)
                ask(words[0] + "-" + std::to_string(i));
        }
        void resumes(const Words& words) { this->fleet.resumeStream(words[0], words.at(2), words.at(4)); }
        void calls(const Words& words)
        {
            this->fleet.callService(
                words[0], words.at(2), words.at(3), option(words, "key"), option(words, "body"), parseBudget(words));
        }
        void leaves(const Words& words) { this->fleet.disconnectCaller(words[0]); }
        void takesOut(const Words& words)
        {
            this->fleet.giveOrder(words[0], words.at(3), parseSubject(words.at(2)), true);
        }
        void bringsBack(const Words& words)
        {
            this->fleet.giveOrder(words[0], words.at(3), parseSubject(words.at(2)), false);
        }
        void publishes(const Words& words)
        {
            this->fleet.publishNote(words[0], words.at(3), makeNote(words.at(2), std::stoul(option(words, "base"))));
        }
    };

    /** @return the last line with the receiver `name`; an empty line if there is none. */
    TranscriptLine lastLineTo(const Transcript& transcript, const std::string& name)
    {
        TranscriptLine last;
        for (const auto& line : transcript.lines()) {
            if (line.to == name)
                last = line;
        }
        return last;
    }

    std::string checkLastLine(const Words& words, const Transcript& transcript)
    {
        const TranscriptLine last = lastLineTo(transcript, words[0]);
        if (words[1] != last.event)
            return words[0] + ": expected " + words[1] + ", last was: " + last.text();
        for (std::size_t i = 2; i < words.size(); ++i) {
            const auto equals = words[i].find('=');
            if (last.field(words[i].substr(0, equals)) != words[i].substr(equals + 1))
                return words[0] + ": expected " + words[i] + ", last was: " + last.text();
        }
        return {};
    }

    /** Checks `count <event> <fields> is N` over the whole transcript. @return the difference found; empty if none. */
    std::string checkCount(const Words& words, const Transcript& transcript)
    {
        const std::string event = words.at(1);
        const auto matches = [&](const TranscriptLine& line) {
            if (line.event != event)
                return false;
            for (std::size_t i = 2; i + 2 < words.size(); ++i) {
                const auto equals = words[i].find('=');
                const std::string name = words[i].substr(0, equals);
                const std::string value = words[i].substr(equals + 1);
                const std::string actual = name == "to" ? line.to : name == "from" ? line.from : line.field(name);
                if (actual != value)
                    return false;
            }
            return true;
        };
        const auto count = std::count_if(transcript.lines().begin(), transcript.lines().end(), matches);
        if (std::to_string(count) == words.back())
            return {};
        return "expected " + words.back() + " of " + event + ", found " + std::to_string(count);
    }

}

namespace {

    /** Adds a step; a step with `times=N every=T` is added N times, each with its own caller. */
    void addStep(Story& story, Milliseconds at, const Words& words)
    {
        const std::string every = option(words, "every");
        if (every.empty()) {
            story.steps.push_back({ at, words });
            return;
        }
        const unsigned long times = std::stoul(option(words, "times"));
        for (unsigned long i = 0; i < times; ++i) {
            story.steps.push_back({ at + parseTime(every) * i, words });
            story.steps.back().words[0] += "-" + std::to_string(i + 1);
        }
    }

}

Story parseStory(const std::string& text)
{
    Story story;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const Words words = splitWords(line);
        if (words.empty() || words[0].starts_with("#"))
            continue;
        if (words[0] == "start")
            story.steps.push_back({ Milliseconds(0), words });
        else if (words[0] == "seed")
            story.seed = std::stoull(words.at(1));
        else if (words[0] == "shown-from")
            story.recordedFrom = parseTime(words.at(1));
        else if (words[0] == "end")
            story.end = parseTime(words.at(1));
        else if (words[0] == "expect")
            story.expectations.emplace_back(words.begin() + 1, words.end());
        else
            addStep(story, parseTime(words[0]), { words.begin() + 1, words.end() });
    }
    std::ranges::stable_sort(story.steps, {}, &Step::at);
    return story;
}

std::string formatStory(const Story& story)
{
    std::string text = "seed " + std::to_string(story.seed) + "\n";
    for (const auto& step : story.steps) {
        if (step.words[0] != "start" || step.at != Milliseconds(0))
            text += std::to_string(step.at.count()) + "ms ";
        text += joinWords(step.words) + "\n";
    }
    text += "end " + std::to_string(story.end.count()) + "ms\n";
    for (const auto& words : story.expectations)
        text += "expect " + joinWords(words) + "\n";
    return text;
}

Transcript runStory(const Story& story, const MessageInterceptors& interceptors)
{
    StoryRunner runner(story.seed);
    runner.fleet.setInterceptors(interceptors);
    for (const auto& step : story.steps) {
        runner.fleet.runUntil(step.at);
        runner.runStep(step.words);
    }
    runner.fleet.runUntil(story.end);
    return runner.fleet.transcript();
}

std::vector<std::string> findUnmetExpectations(const Story& story, const Transcript& transcript)
{
    std::vector<std::string> unmet;
    for (const auto& words : story.expectations) {
        std::string difference = words[0] == "count" ? checkCount(words, transcript) : checkLastLine(words, transcript);
        if (!difference.empty())
            unmet.push_back(std::move(difference));
    }
    return unmet;
}

}
