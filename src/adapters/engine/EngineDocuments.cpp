#include "adapters/engine/EngineDocuments.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberFormatter.h>

#include <array>
#include <sstream>
#include <string_view>

namespace teaselfold::Internal {

namespace {

    using Poco::JSON::Object;

    constexpr std::array priorityNames { "interactive", "standard", "batch" };
    constexpr std::array orderNames { "load_model", "unload_model", "load_adapter", "change_role" };
    constexpr std::string_view dataPrefix = "data:";

    std::string toText(const Object& object)
    {
        std::ostringstream out;
        object.stringify(out);
        return out.str();
    }

    /** @return null when the text is not a JSON object. */
    Object::Ptr parseObject(const std::string& text)
    {
        try {
            return Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
        } catch (const Poco::Exception&) {
            return nullptr;
        }
    }

    std::string tokenText(const Object& object)
    {
        const auto choices = object.getArray("choices");
        const auto first = choices.isNull() ? nullptr : choices->getObject(0);
        return first.isNull() ? std::string() : first->optValue<std::string>("text", "");
    }

    std::vector<std::uint64_t> parseHashes(const Object& object, const std::string& name)
    {
        std::vector<std::uint64_t> hashes;
        const auto array = object.getArray(name);
        for (unsigned index = 0; !array.isNull() && index < array->size(); ++index)
            hashes.push_back(array->getElement<Poco::UInt64>(index));
        return hashes;
    }

    StreamLine parseStreamLine(GenerationId generation, const Object& object)
    {
        if (object.has("finish_reason")) {
            const bool stop = object.getValue<std::string>("finish_reason") != "length";
            return EngineFinished { generation, stop ? FinishReason::Stop : FinishReason::Length };
        }
        return EngineTokens { generation, object.getValue<std::uint32_t>("index"), { tokenText(object) } };
    }

    EngineReport parseReport(const Object& object)
    {
        EngineReport report;
        report.incarnation = object.optValue<Poco::UInt64>("incarnation", 0);
        report.running = object.optValue<std::uint32_t>("running", 0);
        report.waiting = object.optValue<std::uint32_t>("waiting", 0);
        report.blocksUsed = object.optValue<Poco::UInt64>("blocks_used", 0);
        report.blocksTotal = object.optValue<Poco::UInt64>("blocks_total", 0);
        report.tokensPerBlock = object.optValue<std::uint32_t>("tokens_per_block", report.tokensPerBlock);
        report.preemptions = object.optValue<Poco::UInt64>("preemptions", 0);
        report.role = object.optValue<std::string>("role", "");
        report.highestFence = object.optValue<Poco::UInt64>("highest_fence", 0);
        const auto models = object.getArray("loaded_models");
        for (unsigned index = 0; !models.isNull() && index < models->size(); ++index)
            report.loadedModels.push_back(models->getElement<std::string>(index));
        return report;
    }

}

std::string requestIdOf(GenerationId generation)
{
    constexpr int hexDigits = 16;
    return Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(generation.get()), hexDigits);
}

std::string encodeStart(const EngineStart& start)
{
    Object object;
    object.set("request_id", requestIdOf(start.generation));
    object.set("model", start.work.model.get());
    object.set("adapter", start.work.adapter);
    object.set("prompt", start.work.prompt);
    object.set("max_tokens", start.work.maxTokens);
    object.set("priority", std::string(priorityNames[static_cast<std::size_t>(start.work.priority)]));
    object.set("stream", true);
    return toText(object);
}

std::string encodeOrder(const EngineOrder& order)
{
    Object object;
    object.set("kind", std::string(orderNames[static_cast<std::size_t>(order.kind)]));
    object.set("name", order.name);
    object.set("version", order.version);
    object.set("fence", static_cast<Poco::UInt64>(order.fence));
    return toText(object);
}

std::optional<StreamLine> decodeStreamLine(GenerationId generation, const std::string& line)
{
    if (!line.starts_with(dataPrefix))
        return std::nullopt;
    std::string data = line.substr(dataPrefix.size());
    data.erase(0, data.find_first_not_of(' '));
    while (!data.empty() && data.back() == '\r')
        data.pop_back();
    if (data == "[DONE]")
        return StreamDone {};
    const auto object = parseObject(data);
    if (object.isNull())
        return std::nullopt;
    try {
        return parseStreamLine(generation, *object);
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::optional<EngineReport> decodeReport(const std::string& body)
{
    const auto object = parseObject(body);
    if (object.isNull())
        return std::nullopt;
    try {
        return parseReport(*object);
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::optional<EngineCacheEvents> decodeCacheEvents(const std::string& body)
{
    const auto object = parseObject(body);
    if (object.isNull())
        return std::nullopt;
    try {
        return EngineCacheEvents { object->optValue<Poco::UInt64>("sequence", 0), parseHashes(*object, "stored"),
            parseHashes(*object, "dropped") };
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

}
