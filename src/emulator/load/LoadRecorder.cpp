#include "emulator/load/LoadRecorder.h"

#include <algorithm>
#include <array>

namespace teaselfold {

namespace {

    /** @return the part of a token's text that names its generation. */
    std::string markOf(const std::string& text) { return text.substr(0, text.find('.')); }

    /** @return false when the text bears an index that is not the token's. */
    bool bearsIndex(const std::string& text, std::uint32_t index)
    {
        const std::size_t dot = text.find('.');
        return dot == std::string::npos || text.substr(dot + 1) == std::to_string(index);
    }

}

void Tally::merge(const Tally& other)
{
    static constexpr std::array counters { &Tally::sent, &Tally::completed, &Tally::onTime, &Tally::refused,
        &Tally::failed, &Tally::lost, &Tally::doubled, &Tally::tokens };
    for (const auto counter : counters)
        this->*counter += other.*counter;
    this->stall += other.stall;
    this->betweenTokens.merge(other.betweenTokens);
    this->firstToken.merge(other.firstToken);
}

template <typename Change> void LoadRecorder::tally(const Answer& answer, Change change)
{
    change(this->classes[this->kinds[answer.kind].priority]);
    change(this->teams[answer.team]);
    if (answer.endpoint != EndpointId())
        change(this->endpoints[answer.endpoint].tally);
}

void LoadRecorder::sent(std::uint64_t request, const TeamId& team, std::uint32_t kind, Instant now)
{
    Answer& answer = this->answers[request];
    answer = Answer { team, kind, now, now, {}, 0, {}, false };
    this->tally(answer, [](Tally& tally) { ++tally.sent; });
}

void LoadRecorder::token(std::uint64_t request, std::uint32_t index, const std::string& text, Instant now)
{
    const auto found = this->answers.find(request);
    if (found == this->answers.end())
        return;
    Answer& answer = found->second;
    const Duration gap = now - answer.lastToken;
    const bool first = answer.tokens == 0;
    if (first)
        answer.mark = markOf(text);
    if (index != answer.tokens || markOf(text) != answer.mark || !bearsIndex(text, index))
        answer.broken = true;
    const Duration target = this->kinds[answer.kind].betweenTokens;
    this->tally(answer, [&](Tally& tally) {
        ++tally.tokens;
        (first ? tally.firstToken : tally.betweenTokens).add(gap);
        if (!first)
            tally.stall += std::max(Duration(0), gap - target);
    });
    ++answer.tokens;
    answer.lastToken = now;
}

void LoadRecorder::cameFrom(std::uint64_t request, const EndpointId& endpoint)
{
    const auto found = this->answers.find(request);
    if (found == this->answers.end() || found->second.endpoint != EndpointId())
        return;
    found->second.endpoint = endpoint;
    EndpointTally& counted = this->endpoints[endpoint];
    counted.sentAt.push_back(found->second.begun);
    ++counted.tally.sent;
}

void LoadRecorder::restarted(std::uint64_t request)
{
    const auto found = this->answers.find(request);
    if (found != this->answers.end())
        found->second.tokens = 0;
}

void LoadRecorder::ended(std::uint64_t request, AnswerEnd end, Instant now)
{
    static constexpr std::array counters { &Tally::completed, &Tally::refused, &Tally::failed, &Tally::lost };
    const auto found = this->answers.find(request);
    if (found == this->answers.end())
        return;
    const Answer answer = found->second;
    this->answers.erase(found);
    const bool onTime = end == AnswerEnd::Whole && now - answer.begun <= this->kinds[answer.kind].budget;
    this->tally(answer, [&](Tally& tally) {
        ++(tally.*counters[static_cast<std::size_t>(end)]);
        tally.onTime += onTime ? 1 : 0;
        tally.doubled += answer.broken ? 1 : 0;
    });
}

void LoadRecorder::close(Instant now)
{
    while (!this->answers.empty())
        this->ended(this->answers.begin()->first, AnswerEnd::Lost, now);
}

Tally LoadRecorder::whole() const
{
    Tally all;
    for (const auto& [priority, tally] : this->classes)
        all.merge(tally);
    return all;
}

}
