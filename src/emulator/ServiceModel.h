#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace teaselfold {

/** The rules of a plain service that numbers registrations and counts how often each key ran. */
class ServiceModel {
public:
    /**
     * Runs one call.
     * @param key the Idempotency-Key; empty when the call has none.
     * @return the number of this run, unique for the life of the service.
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
