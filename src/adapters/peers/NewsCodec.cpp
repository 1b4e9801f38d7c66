#include "adapters/peers/NewsCodec.h"

#include "adapters/peers/PeerWire.h"

#include <algorithm>

namespace teaselfold {

namespace {

    /** Fits into one Ethernet frame with the heads of IP and UDP and the other fields. */
    constexpr std::size_t maximumShares = 48;
    constexpr std::size_t maximumSuspects = 16;

    std::vector<EndpointUsage> largestShares(std::vector<EndpointUsage> usages)
    {
        std::sort(usages.begin(), usages.end(),
            [](const EndpointUsage& left, const EndpointUsage& right) { return left.tokens > right.tokens; });
        if (usages.size() > maximumShares)
            usages.resize(maximumShares);
        return usages;
    }

}

std::string encodeNews(const GossipMessage& news)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<peerwire::Load> loads;
    for (const EndpointUsage& share : largestShares(news.usages))
        loads.emplace_back(share.endpoint, share.tokens, share.runs, share.promptTokens);
    std::vector<peerwire::Suspect> suspects;
    for (const auto& suspect : news.suspects.suspects) {
        if (suspects.size() == maximumSuspects)
            break;
        suspects.emplace_back(
            suspect.fingerprint.get(), static_cast<std::uint32_t>(suspect.remaining.count()), suspect.deaths);
    }
    // What is empty is left out: a datagram goes to each other gateway several times a second.
    const auto instance = news.isPartial ? 0 : builder.CreateString(news.instance.get());
    const auto loadVector = builder.CreateVectorOfStructs(loads);
    const auto suspectVector = suspects.empty() ? 0 : builder.CreateVectorOfStructs(suspects);
    const auto root = peerwire::CreateNews(builder, instance, news.incarnation.get(), news.sequence, news.isDraining,
        loadVector, suspectVector, news.isPartial);
    builder.Finish(root, peerwire::NewsIdentifier());
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

std::optional<GossipMessage> decodeNews(std::string_view datagram)
{
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(datagram.data());
    flatbuffers::Verifier verifier(bytes, datagram.size());
    constexpr std::size_t smallest = 16;
    if (datagram.size() < smallest || !peerwire::VerifyNewsBuffer(verifier))
        return std::nullopt;
    const auto* root = peerwire::GetNews(bytes);
    const bool isNamed = root->instance() && root->instance()->size() > 0;
    if (isNamed == root->partial())
        return std::nullopt;
    GossipMessage news;
    if (isNamed)
        news.instance = GatewayId(root->instance()->str());
    news.incarnation = Incarnation(root->incarnation());
    news.sequence = root->sequence();
    news.isDraining = root->leaving();
    news.isPartial = root->partial();
    for (std::size_t index = 0; root->loads() && index < root->loads()->size(); ++index) {
        const auto* load = root->loads()->Get(static_cast<flatbuffers::uoffset_t>(index));
        news.usages.push_back({ load->endpoint(), load->runs(), load->tokens(), load->prompt_tokens() });
    }
    for (std::size_t index = 0; root->suspects() && index < root->suspects()->size(); ++index) {
        const auto* suspect = root->suspects()->Get(static_cast<flatbuffers::uoffset_t>(index));
        news.suspects.suspects.push_back(
            { Fingerprint(suspect->fingerprint()), suspect->deaths(), Milliseconds(suspect->remaining_ms()) });
    }
    return news;
}

}
