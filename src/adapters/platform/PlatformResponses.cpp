#include "adapters/platform/PlatformResponses.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <charconv>

namespace teaselfold::Internal {

namespace {

    using Poco::JSON::Object;

    Object::Ptr parseObject(const std::string& body)
    {
        Poco::JSON::Parser parser;
        return parser.parse(body).extract<Object::Ptr>();
    }

    TableRecord parseRecord(const Object& row)
    {
        return { row.getValue<std::string>("key"), row.getValue<std::string>("value"),
            row.getValue<Poco::UInt64>("version") };
    }

    PlatformResult rowWithKey(TableRecord record, const std::string& key)
    {
        if (record.key != key)
            return PlatformUnavailable {};
        return Rows { { std::move(record) } };
    }

    /** Calls a parser and turns the exceptions that Poco throws for malformed JSON into PlatformUnavailable. */
    template <typename Parser> PlatformResult unavailableOnException(Parser parse)
    {
        try {
            return parse();
        } catch (const std::exception&) {
            return PlatformUnavailable {};
        }
    }

    /** @return nothing for an element that another writer left in another form. */
    std::optional<InstanceState> parseInstance(const Object::Ptr& element)
    {
        try {
            if (!element)
                return std::nullopt;
            return InstanceState { element->getValue<std::string>("name"), element->getValue<bool>("leaving") };
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

    template <typename Visitor> void forEachObject(const Object& document, const std::string& list, Visitor visit)
    {
        const auto items = document.getArray(list);
        if (!items)
            throw Poco::DataFormatException(list);
        for (std::size_t index = 0; index < items->size(); ++index) {
            const auto item = items->getObject(static_cast<unsigned>(index));
            if (!item)
                throw Poco::DataFormatException(list);
            visit(*item);
        }
    }

}

PlatformResult parseConflict(const std::string& body, const std::string& key)
{
    return unavailableOnException([&]() -> PlatformResult {
        const auto object = parseObject(body);
        if (object->size() == 0)
            return WriteConflict {};
        TableRecord record = parseRecord(*object);
        if (record.key != key)
            return PlatformUnavailable {};
        return WriteConflict { std::move(record) };
    });
}

PlatformResult parseRow(const std::string& body, const std::string& key)
{
    return unavailableOnException([&] { return rowWithKey(parseRecord(*parseObject(body)), key); });
}

PlatformResult parseRows(const std::string& body)
{
    return unavailableOnException([&]() -> PlatformResult {
        Rows rows;
        forEachObject(*parseObject(body), "rows", [&](const Object& row) { rows.rows.push_back(parseRecord(row)); });
        return rows;
    });
}

PlatformResult parseInstances(const std::string& body)
{
    return unavailableOnException([&]() -> PlatformResult {
        const auto elements = parseObject(body)->getArray("instances");
        if (!elements)
            return PlatformUnavailable {};
        InstanceList list;
        for (unsigned index = 0; index < elements->size(); ++index) {
            if (auto instance = parseInstance(elements->getObject(index)))
                list.instances.push_back(std::move(*instance));
        }
        return list;
    });
}

PlatformResult parseEntityTag(const std::string& entityTag)
{
    if (entityTag.size() < 3 || entityTag.front() != '"' || entityTag.back() != '"')
        return PlatformUnavailable {};
    std::uint64_t version = 0;
    const char* last = entityTag.data() + entityTag.size() - 1;
    const auto [end, error] = std::from_chars(entityTag.data() + 1, last, version);
    if (error != std::errc() || end != last)
        return PlatformUnavailable {};
    return WriteDone { version };
}

}
