#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselfold {

/** Bytes of prompt text counted as one token. */
constexpr std::size_t bytesPerToken = 4;

/** @return for each full block of the prompt, the XXH3 hash of the prompt up to the end of the block. */
std::vector<std::uint64_t> prefixHashes(const std::string& prompt, std::uint32_t tokensPerBlock);

/**
 * Reference-counted blocks of prefilled prompt prefixes, shared between sequences.
 * Evicts unreferenced blocks, least recently used first.
 */
class PrefixCache {
public:
    explicit PrefixCache(std::uint64_t capacityBlocks)
        : capacity(capacityBlocks)
    {
    }

    /** Adds a reference to each cached block of the longest cached prefix. @return the number of these blocks. */
    std::size_t acquire(const std::vector<std::uint64_t>& hashes);

    /** Adds a block with one reference. @return false if it is cached already or no block can be evicted for it. */
    bool insert(std::uint64_t hash);

    /** Releases one reference to each of the first `count` blocks. */
    void release(const std::vector<std::uint64_t>& hashes, std::size_t count);

    /** Evicts the least recently used unreferenced block. @return false if there is none. */
    bool evictOne();

    /** Drops all blocks and unread changes, as an engine restart does. */
    void clear();

    std::uint64_t blocks() const { return this->entries.size(); }

    /** @return the blocks added since the last call, oldest first. */
    std::vector<std::uint64_t> takeStored();
    /** @return the blocks evicted since the last call, oldest first. */
    std::vector<std::uint64_t> takeDropped();

private:
    struct Entry {
        std::uint32_t references { 0 };
        /** Position in `idleBlocks`; valid only while there are no references. */
        std::list<std::uint64_t>::iterator idlePosition;
    };

    void addReference(Entry& entry);

    std::uint64_t capacity;
    std::unordered_map<std::uint64_t, Entry> entries;
    /** Blocks without references, least recently used first. */
    std::list<std::uint64_t> idleBlocks;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> dropped;
};

}
