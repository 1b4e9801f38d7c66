#pragma once

#include "ports/PeerMessages.h"

#include <cstdint>
#include <vector>

namespace teaselfold {

/**
 * Prompts of other gateways that an engine has not read yet. Their gateways tell when they sent them, and some time
 * after the first event that they have been read; in between, the engine is expected to read one after another.
 */
class PendingPrompts {
public:
    /** Replaces what a gateway told of its prompts at the engine. */
    void update(const GatewayId& sender, std::uint32_t tokens, Instant now);
    /** @return the tokens that the engine is expected to have before it. */
    double unreadTokens(Instant now) const;
    bool isEmpty() const { return this->entries.empty(); }

private:
    struct Entry {
        GatewayId sender;
        /** Tokens as its gateway told them last. */
        std::uint32_t tokens { 0 };
        double unread { 0 };
    };

    void read(Instant now);

    /** In the order in which their gateways sent them first. */
    std::vector<Entry> entries;
    Instant readUntil;
};

}
