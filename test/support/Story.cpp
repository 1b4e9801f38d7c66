#include "support/Story.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace teaselfold::testing {

namespace {

    using Words = std::vector<std::string>;

    Words split(const std::string& line)
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

    std::string joined(const Words& words)
    {
        std::string text;
        for (const auto& word : words) {
            const bool quoted = word.find(' ') != std::string::npos;
            text += (text.empty() ? "" : " ") + (quoted ? '"' + word + '"' : word);
        }
        return text;
    }

    Milliseconds readTime(const std::string& word)
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

    bool has(const Words& words, const std::string& word)
    {
        return std::find(words.begin(), words.end(), word) != words.end();
    }

    OrderSubject subjectOf(const std::string& name)
    {
        if (name.size() == 1)
            return ZoneId(name);
        return EndpointId(name);
    }

    Milliseconds budgetOf(const Words& words)
    {
        const std::string given = option(words, "budget");
        return given.empty() ? Milliseconds(Seconds(60)) : readTime(given);
    }

    /** Adds a team with the note's name: a change that is easy to see. */
    ReleaseNote noteOf(const std::string& id, std::uint64_t base)
    {
        ReleaseNote note;
        note.id = NoteId(id);
        note.base = ReleaseVersion(base);
        note.author = "operator";
        note.reason = "drill";
        note.changes.push_back(Put<Team> { { TeamId("team-" + id), 1, 1000, "" } });
        return note;
    }

    /** Plays steps of the form `<verb> <arguments>` and `<caller> <verb> <arguments>`. */
    class Player {
    public:
        explicit Player(std::uint64_t seed)
            : session(seed)
        {
        }

        void doStep(const Words& words)
        {
            const auto verb = verbs().find(words[0]);
            if (verb != verbs().end())
                return (this->*verb->second)(words);
            const auto actorVerb = words.size() > 1 ? actorVerbs().find(words[1]) : actorVerbs().end();
            REQUIRE_MESSAGE(actorVerb != actorVerbs().end(), "unknown step: " << words[0]);
            (this->*actorVerb->second)(words);
        }

        Session session;

    private:
        using Verb = void (Player::*)(const Words&);

        static const std::map<std::string, Verb>& verbs()
        {
            static const std::map<std::string, Verb> table {
                { "start", &Player::start },
                { "kill", &Player::kill },
                { "pause", &Player::pause },
                { "continue", &Player::resume },
                { "stop", &Player::stop },
                { "leaving", &Player::leaving },
                { "silence", &Player::silence },
                { "cut", &Player::cut },
                { "block", &Player::block },
                { "unblock", &Player::unblock },
                { "engine", &Player::engine },
                { "service", &Player::service },
                { "platform", &Player::platform },
                { "listed", &Player::listed },
            };
            return table;
        }

        static const std::map<std::string, Verb>& actorVerbs()
        {
            static const std::map<std::string, Verb> table {
                { "asks", &Player::asks },
                { "resumes", &Player::resumes },
                { "calls", &Player::calls },
                { "leaves", &Player::leaves },
                { "takes-out", &Player::takesOut },
                { "brings-back", &Player::bringsBack },
                { "publishes", &Player::publishes },
            };
            return table;
        }

        void start(const Words& words)
        {
            for (std::size_t i = 1; i < words.size(); ++i) {
                if (words[i] == "x" || words[i] == "y")
                    this->session.startEntry(words[i]);
                else
                    this->session.startAgent(words[i]);
            }
        }
        void kill(const Words& words) { this->session.kill(words.at(1)); }
        void pause(const Words& words) { this->session.pause(words.at(1)); }
        void resume(const Words& words) { this->session.resume(words.at(1)); }
        void stop(const Words& words) { this->session.stop(words.at(1)); }
        void leaving(const Words& words) { this->session.noticeLeaving(words.at(1)); }
        void silence(const Words& words) { this->session.silence(words.at(1), words.at(2)); }
        void cut(const Words& words) { this->session.cut(words.at(1), words.at(2)); }
        void block(const Words& words) { this->session.block(words.at(1), words.at(2)); }
        void unblock(const Words& words) { this->session.unblock(words.at(1), words.at(2)); }
        void listed(const Words& words) { this->session.setLeavingInList(words.at(1), words.at(2) == "leaving"); }
        void service(const Words& words) { this->session.loseServiceAnswers(words.at(1), words.at(2) == "loses"); }

        void engine(const Words& words)
        {
            static const std::map<std::string, void (Session::*)(const std::string&)> faults {
                { "dies", &Session::killEngine },
                { "starts", &Session::startEngine },
                { "cut", &Session::cutEngine },
                { "freezes", &Session::freezeEngine },
                { "thaws", &Session::thawEngine },
                { "restarts", &Session::restartEngine },
                { "turns-cold", &Session::turnEngineCold },
                { "holds-reports", &Session::holdReports },
                { "releases-reports", &Session::releaseReports },
            };
            (this->session.*faults.at(words.at(2)))(words.at(1));
        }

        void platform(const Words& words)
        {
            static const std::map<std::string, FakePlatform::Mode> modes {
                { "up", FakePlatform::Mode::Up },
                { "down", FakePlatform::Mode::Down },
                { "loses-answers", FakePlatform::Mode::LoseAnswers },
                { "slow", FakePlatform::Mode::Slow },
            };
            this->session.setPlatform(modes.at(words.at(1)));
        }

        void asks(const Words& words)
        {
            const OnEngineLoss onLoss = has(words, "restart") ? OnEngineLoss::Restart : OnEngineLoss::Fail;
            const auto ask = [&](const std::string& caller) {
                this->session.ask(caller, words.at(2), words.at(3), has(words, "stream"), onLoss, budgetOf(words),
                    option(words, "team"));
            };
            const std::string times = option(words, "times");
            if (times.empty() || !option(words, "every").empty())
                return ask(words[0]);
            for (unsigned long i = 1; i <= std::stoul(times); ++i)
                ask(words[0] + "-" + std::to_string(i));
        }
        void resumes(const Words& words) { this->session.askAgain(words[0], words.at(2), words.at(4)); }
        void calls(const Words& words)
        {
            this->session.call(
                words[0], words.at(2), words.at(3), option(words, "key"), option(words, "body"), budgetOf(words));
        }
        void leaves(const Words& words) { this->session.leave(words[0]); }
        void takesOut(const Words& words) { this->session.order(words[0], words.at(3), subjectOf(words.at(2)), true); }
        void bringsBack(const Words& words)
        {
            this->session.order(words[0], words.at(3), subjectOf(words.at(2)), false);
        }
        void publishes(const Words& words)
        {
            this->session.publish(words[0], words.at(3), noteOf(words.at(2), std::stoul(option(words, "base"))));
        }
    };

    /** The last line said to somebody, or an empty one. */
    Line lastTo(const Transcript& transcript, const std::string& name)
    {
        Line last;
        for (const auto& line : transcript.lines()) {
            if (line.to == name)
                last = line;
        }
        return last;
    }

    std::string checkLast(const Words& words, const Transcript& transcript)
    {
        const Line last = lastTo(transcript, words[0]);
        if (words[1] != last.what)
            return words[0] + ": expected " + words[1] + ", last was: " + last.text();
        for (std::size_t i = 2; i < words.size(); ++i) {
            const auto equals = words[i].find('=');
            if (last.field(words[i].substr(0, equals)) != words[i].substr(equals + 1))
                return words[0] + ": expected " + words[i] + ", last was: " + last.text();
        }
        return {};
    }

    /** `count <what> <fields> is N`, over the whole transcript. */
    std::string checkCount(const Words& words, const Transcript& transcript)
    {
        const std::string what = words.at(1);
        const auto matches = [&](const Line& line) {
            if (line.what != what)
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
        return "expected " + words.back() + " of " + what + ", found " + std::to_string(count);
    }

}

namespace {

    /** Adds a step; one with `times=N every=T` is added N times, each for a caller of its own. */
    void addStep(Story& story, Milliseconds at, const Words& words)
    {
        const std::string every = option(words, "every");
        if (every.empty()) {
            story.steps.push_back({ at, words });
            return;
        }
        const unsigned long times = std::stoul(option(words, "times"));
        for (unsigned long i = 0; i < times; ++i) {
            story.steps.push_back({ at + readTime(every) * i, words });
            story.steps.back().words[0] += "-" + std::to_string(i + 1);
        }
    }

}

Story readStory(const std::string& text)
{
    Story story;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const Words words = split(line);
        if (words.empty() || words[0].starts_with("#"))
            continue;
        if (words[0] == "start")
            story.steps.push_back({ Milliseconds(0), words });
        else if (words[0] == "seed")
            story.seed = std::stoull(words.at(1));
        else if (words[0] == "shown-from")
            story.shownFrom = readTime(words.at(1));
        else if (words[0] == "end")
            story.end = readTime(words.at(1));
        else if (words[0] == "expect")
            story.expectations.emplace_back(words.begin() + 1, words.end());
        else
            addStep(story, readTime(words[0]), { words.begin() + 1, words.end() });
    }
    std::ranges::stable_sort(story.steps, {}, &Step::at);
    return story;
}

std::string storyText(const Story& story)
{
    std::string text = "seed " + std::to_string(story.seed) + "\n";
    for (const auto& step : story.steps) {
        if (step.words[0] != "start" || step.at != Milliseconds(0))
            text += std::to_string(step.at.count()) + "ms ";
        text += joined(step.words) + "\n";
    }
    text += "end " + std::to_string(story.end.count()) + "ms\n";
    for (const auto& words : story.expectations)
        text += "expect " + joined(words) + "\n";
    return text;
}

Transcript play(const Story& story, const Tampering& tampering)
{
    Player player(story.seed);
    player.session.setTampering(tampering);
    for (const auto& step : story.steps) {
        player.session.runUntil(step.at);
        player.doStep(step.words);
    }
    player.session.runUntil(story.end);
    return player.session.transcript();
}

std::vector<std::string> unmet(const Story& story, const Transcript& transcript)
{
    std::vector<std::string> faults;
    for (const auto& words : story.expectations) {
        std::string fault = words[0] == "count" ? checkCount(words, transcript) : checkLast(words, transcript);
        if (!fault.empty())
            faults.push_back(std::move(fault));
    }
    return faults;
}

}
