#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace teaselfold {

/**
 * A strongly typed identifier, comparable only with identifiers of the same kind.
 * @tparam Tag the kind; an incomplete type.
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

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on the defaulted comparison
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
/** Identifies one process of an entry. */
using EntryId = Id<struct EntryTag, std::string>;
/** Chosen by the submitter of a release note. Tells whether an insert took effect when its response was lost. */
using NoteId = Id<struct NoteTag, std::string>;
/** Identifies a service order or an audit record. Chosen by the entry. */
using OrderId = Id<struct OrderTag, std::string>;
using IdempotencyKey = Id<struct IdempotencyKeyTag, std::string>;

/** Identifies a TCP connection of a process. Never reused within it. */
using ConnectionId = Id<struct ConnectionTag, std::uint64_t>;
/** Identifies a caller's request at one process. Unique within that process. */
using RequestId = Id<struct RequestTag, std::uint64_t>;
/** Identifies one attempt to run a request at one endpoint. Random, so that ids are not reused after a restart. */
using GenerationId = Id<struct GenerationTag, std::uint64_t>;
/** Identifies one run of a process; random, drawn at its start. */
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
/** Position in the sequence of accepted release notes. Zero when no release is known. */
using ReleaseVersion = Id<struct ReleaseVersionTag, std::uint64_t>;
/** Identifies a part of a prompt by the XXH3 hash of the name that requests with this part give it. */
using PromptPartId = Id<struct PromptPartTag, std::uint64_t>;
/** XXH3 hash of a request's content, identical at every entry. */
using Fingerprint = Id<struct FingerprintTag, std::uint64_t>;
/** Matches an operation on the platform with its reply. */
using OperationId = Id<struct OperationTag, std::uint64_t>;

}

template <typename Tag, typename Value> struct std::hash<teaselfold::Id<Tag, Value>> {
    std::size_t operator()(const teaselfold::Id<Tag, Value>& id) const noexcept
    {
        return std::hash<Value> {}(id.get());
    }
};
