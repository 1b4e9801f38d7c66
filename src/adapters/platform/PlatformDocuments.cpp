#include "adapters/platform/PlatformDocuments.h"

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

    TableRecord recordOf(const Object& row)
    {
        return { row.getValue<std::string>("key"), row.getValue<std::string>("value"),
            row.getValue<Poco::UInt64>("version") };
    }

    PlatformResult rowOfKey(TableRecord record, const std::string& key)
    {
        if (record.key != key)
            return PlatformUnavailable {};
        return Rows { { std::move(record) } };
    }

    /** Calls a reader whose library reports a wrong form by exceptions. */
    template <typename Reader> PlatformResult guarded(Reader read)
    {
        try {
            return read();
        } catch (const std::exception&) {
            return PlatformUnavailable {};
        }
    }

    template <typename Visit> void eachObject(const Object& document, const std::string& list, Visit visit)
    {
        const auto entries = document.getArray(list);
        if (!entries)
            throw Poco::DataFormatException(list);
        for (std::size_t index = 0; index < entries->size(); ++index) {
            const auto entry = entries->getObject(static_cast<unsigned>(index));
            if (!entry)
                throw Poco::DataFormatException(list);
            visit(*entry);
        }
    }

}

PlatformResult readConflict(const std::string& body, const std::string& key)
{
    return guarded([&]() -> PlatformResult {
        const auto object = parseObject(body);
        if (object->size() == 0)
            return WriteConflict {};
        TableRecord record = recordOf(*object);
        if (record.key != key)
            return PlatformUnavailable {};
        return WriteConflict { std::move(record) };
    });
}

PlatformResult readRow(const std::string& body, const std::string& key)
{
    return guarded([&] { return rowOfKey(recordOf(*parseObject(body)), key); });
}

PlatformResult readRows(const std::string& body)
{
    return guarded([&]() -> PlatformResult {
        Rows rows;
        eachObject(*parseObject(body), "rows", [&](const Object& row) { rows.rows.push_back(recordOf(row)); });
        return rows;
    });
}

PlatformResult readInstances(const std::string& body)
{
    return guarded([&]() -> PlatformResult {
        InstanceList list;
        eachObject(*parseObject(body), "instances", [&](const Object& line) {
            list.instances.push_back({ line.getValue<std::string>("name"), line.getValue<bool>("leaving") });
        });
        return list;
    });
}

PlatformResult readEntityTag(const std::string& entityTag)
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
