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

    constexpr std::size_t maximumDepth = 16;

    struct PriorityRow {
        std::string_view name;
        PriorityClass priority;
    };

    constexpr std::array priorityRows {
        PriorityRow { "interactive", PriorityClass::Interactive },
        PriorityRow { "standard", PriorityClass::Standard },
        PriorityRow { "batch", PriorityClass::Batch },
    };

    struct LossRow {
        std::string_view name;
        OnEngineLoss onEngineLoss;
    };

    constexpr std::array lossRows {
        LossRow { "fail", OnEngineLoss::Fail },
        LossRow { "restart", OnEngineLoss::Restart },
    };

    /** Reads the fields of one JSON object and remembers the first fault. */
    class FieldReader {
    public:
        explicit FieldReader(const Object& object)
            : object(object)
        {
        }

        std::string text(const std::string& name, bool required)
        {
            if (!this->present(name, required))
                return {};
            const auto value = this->object.get(name);
            if (value.isString())
                return value.extract<std::string>();
            this->reject(name, "must be a string");
            return {};
        }

        std::uint32_t count(const std::string& name)
        {
            if (!this->present(name, false))
                return 0;
            const auto value = this->object.get(name);
            if (value.isInteger() && !value.isBoolean()) {
                const auto number = value.convert<std::int64_t>();
                if (number >= 1 && number <= std::numeric_limits<std::uint32_t>::max())
                    return static_cast<std::uint32_t>(number);
            }
            this->reject(name, "must be a whole number from 1 to 4294967295");
            return 0;
        }

        bool flag(const std::string& name)
        {
            if (!this->present(name, false))
                return false;
            const auto value = this->object.get(name);
            if (value.isBoolean())
                return value.extract<bool>();
            this->reject(name, "must be true or false");
            return false;
        }

        template <typename Rows, typename Value> Value choice(const std::string& name, const Rows& rows, Value fallback)
        {
            const std::string text = this->text(name, false);
            if (!this->object.has(name) || this->problem)
                return fallback;
            for (const auto& [rowName, value] : rows)
                if (rowName == text)
                    return value;
            this->reject(name, "has an unknown value");
            return fallback;
        }

        std::optional<Failure> problem;

    private:
        bool present(const std::string& name, bool required)
        {
            if (this->object.has(name) && !this->object.isNull(name))
                return true;
            if (required)
                this->reject(name, "is required");
            return false;
        }

        void reject(const std::string& name, const std::string& expected)
        {
            if (!this->problem)
                this->problem = Failure { ErrorCode::BadRequest, name + " " + expected, Executed::No };
        }

        const Object& object;
    };

    Outcome<Object::Ptr> parseObject(const std::string& body)
    {
        try {
            Poco::JSON::Parser parser;
            parser.setDepth(maximumDepth);
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

    std::string finishName(FinishReason reason) { return reason == FinishReason::Stop ? "stop" : "length"; }

    Poco::JSON::Array choices(const std::string& text, const std::optional<FinishReason>& reason)
    {
        Object choice(Poco::JSON_PRESERVE_KEY_ORDER);
        choice.set("index", 0);
        choice.set("text", text);
        if (reason)
            choice.set("finish_reason", finishName(*reason));
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
    request.work.model = ModelId(fields.text("model", true));
    request.work.adapter = fields.text("adapter", false);
    request.work.prompt = fields.text("prompt", true);
    request.work.maxTokens = fields.count("max_tokens");
    request.work.priority = fields.choice("priority", priorityRows, PriorityClass::Standard);
    request.stream = fields.flag("stream");
    request.onEngineLoss = fields.choice("on_engine_loss", lossRows, OnEngineLoss::Fail);
    if (fields.problem)
        return *fields.problem;
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
    object.set("generation", encodeGeneration(completion.generation));
    object.set("choices", choices(completion.text, completion.reason));
    object.set("usage", usage);
    return stringify(object);
}

std::string encodeTokenData(GenerationId generation, std::uint32_t index, const std::string& text)
{
    const std::string id = encodeGeneration(generation);
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("id", id);
    object.set("generation", id);
    object.set("index", index);
    object.set("choices", choices(text, std::nullopt));
    return stringify(object);
}

std::string encodeFinishData(const CallerFinished& finished)
{
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("token_count", finished.tokenCount);
    object.set("choices", choices("", finished.reason));
    return stringify(object);
}

std::string encodeGeneration(GenerationId generation) { return Poco::NumberFormatter::formatHex(generation.get()); }

}
