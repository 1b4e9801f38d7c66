#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace teaselfold {

/**
 * An identifier that only compares with identifiers of its own kind.
 * @tparam Tag the kind; never defined, only named.
 * @tparam Value the representation, a string for names or an integer for generated ids.
 */
template <typename Tag, typename Value> class Id {
public:
    Id() = default;
    explicit Id(Value value)
        : value(std::move(value))
    {
    }

    /** @return the representation, for encoders and logs. */
    const Value& get() const { return this->value; }

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted comparison
    auto operator<=>(const Id&) const = default;

private:
    Value value {};
};

template <typename Tag, typename Value> std::ostream& operator<<(std::ostream& out, const Id<Tag, Value>& id)
{
    return out << id.get();
}

using ZoneId = Id<struct ZoneTag, std::string>;
using EndpointId = Id<struct EndpointTag, std::string>;
using ServiceId = Id<struct ServiceTag, std::string>;
using ModelId = Id<struct ModelTag, std::string>;
using TeamId = Id<struct TeamTag, std::string>;
/** An entry instance, unique for the life of its process. */
using EntryId = Id<struct EntryTag, std::string>;
/** Chosen by whoever submits a release note; settles a lost answer to the insert. */
using NoteId = Id<struct NoteTag, std::string>;
/** Chosen by the entry for each operator's act. */
using OrderId = Id<struct OrderTag, std::string>;
using IdempotencyKey = Id<struct IdempotencyKeyTag, std::string>;

/** One caller's request at one entry. Unique within the entry's process. */
using RequestId = Id<struct RequestTag, std::uint64_t>;
/** One attempt to run a request at one endpoint. Drawn at random, so that a restart does not reuse one. */
using GenerationId = Id<struct GenerationTag, std::uint64_t>;
/** One life of an agent's process, drawn at random at start. */
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
/** Position in the sequence of accepted release notes. Zero means none is known. */
using ReleaseVersion = Id<struct ReleaseVersionTag, std::uint64_t>;
/** XXH3 hash of a request's content, the same at every entry. */
using Fingerprint = Id<struct FingerprintTag, std::uint64_t>;
/** Pairs a request to the platform with its result. */
using OperationId = Id<struct OperationTag, std::uint64_t>;

}

template <typename Tag, typename Value> struct std::hash<teaselfold::Id<Tag, Value>> {
    std::size_t operator()(const teaselfold::Id<Tag, Value>& id) const noexcept
    {
        return std::hash<Value> {}(id.get());
    }
};
