#include "adapters/http/CompletionJson.h"

#include "core/entry/RequestFingerprint.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberFormatter.h>

#include <array>
#include <limits>
#include <sstream>
#include <string_view>

namespace teaselfold {

namespace {

    using Poco::JSON::Object;

    constexpr std::size_t maxJsonDepth = 16;

    struct PriorityRow {
        std::string_view name;
        PriorityClass priority;
    };

    constexpr std::array priorityRows {
        PriorityRow { "interactive", PriorityClass::Interactive },
        PriorityRow { "standard", PriorityClass::Standard },
        PriorityRow { "batch", PriorityClass::Batch },
    };

    struct EngineLossRow {
        std::string_view name;
        OnEngineLoss onEngineLoss;
    };

    constexpr std::array engineLossRows {
        EngineLossRow { "fail", OnEngineLoss::Fail },
        EngineLossRow { "restart", OnEngineLoss::Restart },
    };

    /** Reads the fields of one JSON object and records the first invalid one. */
    class FieldReader {
    public:
        explicit FieldReader(const Object& object)
            : object(object)
        {
        }

        std::string readText(const std::string& name, bool required)
        {
            if (!this->isPresent(name, required))
                return {};
            const auto value = this->object.get(name);
            if (value.isString())
                return value.extract<std::string>();
            this->recordProblem(name, "must be a string");
            return {};
        }

        std::uint32_t readCount(const std::string& name)
        {
            if (!this->isPresent(name, false))
                return 0;
            const auto value = this->object.get(name);
            if (value.isInteger() && !value.isBoolean()) {
                const auto number = value.convert<std::int64_t>();
                if (number >= 1 && number <= std::numeric_limits<std::uint32_t>::max())
                    return static_cast<std::uint32_t>(number);
            }
            this->recordProblem(name, "must be a whole number from 1 to 4294967295");
            return 0;
        }

        bool readFlag(const std::string& name)
        {
            if (!this->isPresent(name, false))
                return false;
            const auto value = this->object.get(name);
            if (value.isBoolean())
                return value.extract<bool>();
            this->recordProblem(name, "must be true or false");
            return false;
        }

        template <typename Rows, typename Value>
        Value readChoice(const std::string& name, const Rows& rows, Value fallback)
        {
            const std::string text = this->readText(name, false);
            if (!this->object.has(name) || this->firstProblem)
                return fallback;
            for (const auto& [rowName, value] : rows)
                if (rowName == text)
                    return value;
            this->recordProblem(name, "has an unknown value");
            return fallback;
        }

        std::optional<Failure> firstProblem;

    private:
        bool isPresent(const std::string& name, bool required)
        {
            if (this->object.has(name) && !this->object.isNull(name))
                return true;
            if (required)
                this->recordProblem(name, "is required");
            return false;
        }

        void recordProblem(const std::string& name, const std::string& expected)
        {
            if (!this->firstProblem)
                this->firstProblem = Failure { ErrorCode::BadRequest, name + " " + expected, Executed::No };
        }

        const Object& object;
    };

    Outcome<Object::Ptr> parseObject(const std::string& body)
    {
        try {
            Poco::JSON::Parser parser;
            parser.setDepth(maxJsonDepth);
            const auto value = parser.parse(body);
            if (value.type() == typeid(Object::Ptr))
                return value.extract<Object::Ptr>();
        } catch (const Poco::Exception&) {
            return Failure { ErrorCode::BadRequest, "the body is not JSON", Executed::No };
        }
        return Failure { ErrorCode::BadRequest, "the body must be a JSON object", Executed::No };
    }

    std::string stringify(const Object& object)
    {
        std::ostringstream out;
        object.stringify(out);
        return out.str();
    }

    std::string finishReasonName(FinishReason reason) { return reason == FinishReason::Stop ? "stop" : "length"; }

    Poco::JSON::Array makeChoices(const std::string& text, const std::optional<FinishReason>& reason)
    {
        Object choice(Poco::JSON_PRESERVE_KEY_ORDER);
        choice.set("index", 0);
        choice.set("text", text);
        if (reason)
            choice.set("finish_reason", finishReasonName(*reason));
        Poco::JSON::Array array;
        array.add(choice);
        return array;
    }

}

Outcome<CompletionRequest> decodeCompletionRequest(const std::string& body)
{
    const Outcome<Object::Ptr> parsed = parseObject(body);
    if (const auto* failure = std::get_if<Failure>(&parsed))
        return *failure;
    FieldReader fields(*std::get<Object::Ptr>(parsed));
    CompletionRequest request;
    request.work.model = ModelId(fields.readText("model", true));
    request.work.adapter = fields.readText("adapter", false);
    request.work.prompt = fields.readText("prompt", true);
    request.work.maxTokens = fields.readCount("max_tokens");
    request.work.priority = fields.readChoice("priority", priorityRows, PriorityClass::Standard);
    request.stream = fields.readFlag("stream");
    request.onEngineLoss = fields.readChoice("on_engine_loss", engineLossRows, OnEngineLoss::Fail);
    if (fields.firstProblem)
        return *fields.firstProblem;
    return request;
}

std::string encodeCompletion(RequestId request, const ModelId& model, const CallerCompletion& completion)
{
    Object usage;
    usage.set("completion_tokens", completion.tokenCount);
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("id", std::to_string(request.get()));
    object.set("object", "text_completion");
    object.set("model", model.get());
    object.set("generation", encodeGenerationId(completion.generation));
    object.set("choices", makeChoices(completion.text, completion.reason));
    object.set("usage", usage);
    return stringify(object);
}

std::string encodeTokenData(GenerationId generation, std::uint32_t index, const std::string& text)
{
    const std::string id = encodeGenerationId(generation);
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("id", id);
    object.set("generation", id);
    object.set("index", index);
    object.set("choices", makeChoices(text, std::nullopt));
    return stringify(object);
}

std::string encodeFinishData(const CallerFinished& finished)
{
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("token_count", finished.tokenCount);
    object.set("choices", makeChoices("", finished.reason));
    return stringify(object);
}

std::string encodeGenerationId(GenerationId generation) { return Poco::NumberFormatter::formatHex(generation.get()); }

}
