#include "emulator/load/LoadRecorder.h"

#include <algorithm>
#include <array>

namespace teaselfold {

namespace {

    /** @return the prefix of a token's text that identifies its generation. */
    std::string parseGenerationMark(const std::string& text) { return text.substr(0, text.find('.')); }

    /** @return false if the text contains an index that differs from that of the token. */
    bool indexMatches(const std::string& text, std::uint32_t index)
    {
        const std::size_t dot = text.find('.');
        return dot == std::string::npos || text.substr(dot + 1) == std::to_string(index);
    }

}

void Tally::merge(const Tally& other)
{
    static constexpr std::array counters { &Tally::sent, &Tally::completed, &Tally::onTime, &Tally::refused,
        &Tally::failed, &Tally::lost, &Tally::corrupt, &Tally::tokens };
    for (const auto counter : counters)
        this->*counter += other.*counter;
    this->stall += other.stall;
    this->interTokenLatency.merge(other.interTokenLatency);
    this->timeToFirstToken.merge(other.timeToFirstToken);
}

template <typename Change> void LoadRecorder::updateTallies(const Answer& answer, Change change)
{
    change(this->classes[this->kinds[answer.kind].priority]);
    change(this->teams[answer.team]);
    if (answer.endpoint != EndpointId())
        change(this->endpoints[answer.endpoint].tally);
}

void LoadRecorder::recordSend(std::uint64_t request, const TeamId& team, std::uint32_t kind, Instant now)
{
    Answer& answer = this->answers[request];
    answer = Answer { team, kind, now, now, {}, 0, {}, false };
    this->updateTallies(answer, [](Tally& tally) { ++tally.sent; });
}

void LoadRecorder::recordToken(std::uint64_t request, std::uint32_t index, const std::string& text, Instant now)
{
    const auto found = this->answers.find(request);
    if (found == this->answers.end())
        return;
    Answer& answer = found->second;
    const Duration gap = now - answer.lastToken;
    const bool first = answer.tokens == 0;
    if (first)
        answer.generationMark = parseGenerationMark(text);
    if (index != answer.tokens || parseGenerationMark(text) != answer.generationMark || !indexMatches(text, index))
        answer.corrupt = true;
    const Duration target = this->kinds[answer.kind].betweenTokens;
    this->updateTallies(answer, [&](Tally& tally) {
        ++tally.tokens;
        (first ? tally.timeToFirstToken : tally.interTokenLatency).add(gap);
        if (!first)
            tally.stall += std::max(Duration(0), gap - target);
    });
    ++answer.tokens;
    answer.lastToken = now;
}

void LoadRecorder::recordEndpoint(std::uint64_t request, const EndpointId& endpoint)
{
    const auto found = this->answers.find(request);
    if (found == this->answers.end() || found->second.endpoint != EndpointId())
        return;
    found->second.endpoint = endpoint;
    EndpointTally& counted = this->endpoints[endpoint];
    counted.sendTimes.push_back(found->second.sentAt);
    ++counted.tally.sent;
}

void LoadRecorder::recordRestart(std::uint64_t request)
{
    const auto found = this->answers.find(request);
    if (found != this->answers.end())
        found->second.tokens = 0;
}

void LoadRecorder::recordEnd(std::uint64_t request, AnswerOutcome outcome, Instant now)
{
    static constexpr std::array counters { &Tally::completed, &Tally::refused, &Tally::failed, &Tally::lost };
    const auto found = this->answers.find(request);
    if (found == this->answers.end())
        return;
    const Answer answer = found->second;
    this->answers.erase(found);
    const bool onTime = outcome == AnswerOutcome::Completed && now - answer.sentAt <= this->kinds[answer.kind].budget;
    this->updateTallies(answer, [&](Tally& tally) {
        ++(tally.*counters[static_cast<std::size_t>(outcome)]);
        tally.onTime += onTime ? 1 : 0;
        tally.corrupt += answer.corrupt ? 1 : 0;
    });
}

void LoadRecorder::closeOpenAnswers(Instant now)
{
    while (!this->answers.empty())
        this->recordEnd(this->answers.begin()->first, AnswerOutcome::Lost, now);
}

Tally LoadRecorder::total() const
{
    Tally all;
    for (const auto& [priority, tally] : this->classes)
        all.merge(tally);
    return all;
}

}
