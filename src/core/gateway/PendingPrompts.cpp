#include "core/gateway/PendingPrompts.h"

#include "core/gateway/PromptReading.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Fraction assumed to be unread of prompts that are still pending after the time in which they are usually read.
     */
    constexpr double overdueFraction = 0.5;

    double tokensReadIn(Duration time)
    {
        return std::chrono::duration<double>(time).count() / (secondsPerPromptToken * interleavedPrefillFactor);
    }

}

void PendingPrompts::read(Instant now)
{
    double left = tokensReadIn(std::max(now - this->readUntil, Duration(0)));
    this->readUntil = now;
    for (Entry& entry : this->entries) {
        const double taken = std::min(left, entry.unread);
        entry.unread -= taken;
        left -= taken;
    }
}

void PendingPrompts::update(const GatewayId& sender, std::uint32_t tokens, Instant now)
{
    this->read(now);
    const auto found = std::find_if(
        this->entries.begin(), this->entries.end(), [&](const Entry& entry) { return entry.sender == sender; });
    if (tokens == 0) {
        if (found != this->entries.end())
            this->entries.erase(found);
        return;
    }
    if (found == this->entries.end()) {
        this->entries.push_back({ sender, tokens, static_cast<double>(tokens) });
        return;
    }
    const double added = tokens > found->tokens ? tokens - found->tokens : 0;
    const double overdue = added > 0 ? 0 : tokens * overdueFraction;
    found->unread = std::min<double>(std::max(found->unread + added, overdue), tokens);
    found->tokens = tokens;
}

double PendingPrompts::unreadTokens(Instant now) const
{
    double unread = 0;
    for (const Entry& entry : this->entries)
        unread += entry.unread;
    return std::max(0.0, unread - tokensReadIn(std::max(now - this->readUntil, Duration(0))));
}

}
