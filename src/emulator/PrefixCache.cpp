#include "emulator/PrefixCache.h"

#include <xxhash.h>

#include <utility>

namespace teaselfold {

std::vector<std::uint64_t> prefixHashes(const std::string& prompt, std::uint32_t tokensPerBlock)
{
    const std::size_t blockBytes = bytesPerToken * tokensPerBlock;
    std::vector<std::uint64_t> hashes;
    for (std::size_t end = blockBytes; end <= prompt.size(); end += blockBytes)
        hashes.push_back(XXH3_64bits(prompt.data(), end));
    return hashes;
}

std::size_t PrefixCache::acquire(const std::vector<std::uint64_t>& hashes)
{
    std::size_t count = 0;
    for (const std::uint64_t hash : hashes) {
        const auto found = this->entries.find(hash);
        if (found == this->entries.end())
            break;
        this->addReference(found->second);
        ++count;
    }
    return count;
}

bool PrefixCache::insert(std::uint64_t hash)
{
    if (this->entries.contains(hash))
        return false;
    if (this->entries.size() >= this->capacity && !this->evictOne())
        return false;
    this->entries.emplace(hash, Entry { 1, this->idleBlocks.end() });
    this->stored.push_back(hash);
    return true;
}

void PrefixCache::release(const std::vector<std::uint64_t>& hashes, std::size_t count)
{
    // Releases the last block first, so that eviction shortens a prefix from its end.
    while (count > 0) {
        --count;
        const auto found = this->entries.find(hashes[count]);
        if (found == this->entries.end())
            continue;
        --found->second.references;
        if (found->second.references == 0)
            found->second.idlePosition = this->idleBlocks.insert(this->idleBlocks.end(), hashes[count]);
    }
}

bool PrefixCache::evictOne()
{
    if (this->idleBlocks.empty())
        return false;
    const std::uint64_t hash = this->idleBlocks.front();
    this->idleBlocks.pop_front();
    this->entries.erase(hash);
    this->dropped.push_back(hash);
    return true;
}

void PrefixCache::clear()
{
    this->entries.clear();
    this->idleBlocks.clear();
    this->stored.clear();
    this->dropped.clear();
}

std::vector<std::uint64_t> PrefixCache::takeStored() { return std::exchange(this->stored, {}); }

std::vector<std::uint64_t> PrefixCache::takeDropped() { return std::exchange(this->dropped, {}); }

void PrefixCache::addReference(Entry& entry)
{
    if (entry.references == 0)
        this->idleBlocks.erase(entry.idlePosition);
    ++entry.references;
}

}
