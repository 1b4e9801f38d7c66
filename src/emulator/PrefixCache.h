#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselfold {

/** Bytes of prompt text that make one token. */
constexpr std::size_t bytesPerToken = 4;

/** @return one hash for each whole block of the prompt: the XXH3 hash of all text up to the block's end. */
std::vector<std::uint64_t> prefixHashes(const std::string& prompt, std::uint32_t tokensPerBlock);

/** Blocks of computed prompt prefixes that sequences share. The least recently used unshared block goes first. */
class PrefixCache {
public:
    explicit PrefixCache(std::uint64_t limitBlocks)
        : limit(limitBlocks)
    {
    }

    /** Takes a reference on the leading blocks that are held. @return how many of the hashes those are. */
    std::size_t acquire(const std::vector<std::uint64_t>& hashes);

    /** Adds a block with one reference. @return false when it is held already or there is no room. */
    bool insert(std::uint64_t hash);

    /** Gives back the references on the first `count` hashes. */
    void release(const std::vector<std::uint64_t>& hashes, std::size_t count);

    /** Drops the least recently used block that no sequence refers to. @return false when there is none. */
    bool evictOne();

    /** Drops all blocks, as when the engine restarts. */
    void clear();

    std::uint64_t blocks() const { return this->entries.size(); }

    /** Changes since the last call, in order of occurrence. */
    std::vector<std::uint64_t> takeStored();
    std::vector<std::uint64_t> takeDropped();

private:
    struct Entry {
        std::uint32_t references { 0 };
        std::list<std::uint64_t>::iterator idle;
    };

    void takeReference(Entry& entry);

    std::uint64_t limit;
    std::unordered_map<std::uint64_t, Entry> entries;
    /** Blocks without references, least recently used first. */
    std::list<std::uint64_t> idleBlocks;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> dropped;
};

}
