#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace teaselfold {

/** Simulates a plain service that numbers its runs and counts the runs of each idempotency key. */
class ServiceModel {
public:
    /**
     * Runs one call.
     * @param key the value of the Idempotency-Key header; empty if the call has none.
     * @return the number of this run, unique within the service's lifetime.
     */
    std::uint64_t run(const std::string& key)
    {
        ++this->total;
        if (!key.empty())
            ++this->byKey[key];
        return this->total;
    }

    std::uint64_t runs() const { return this->total; }
    const std::map<std::string, std::uint64_t>& runsByKey() const { return this->byKey; }

private:
    std::uint64_t total { 0 };
    std::map<std::string, std::uint64_t> byKey;
};

}
