#include "support/FakePlatform.h"

namespace teaselfold::testing {

void FakePlatform::submit(const PlatformOperation& operation, std::function<void(const PlatformReply&)> reply)
{
    const Mode mode = this->mode;
    if (mode == Mode::Up) {
        this->scheduler.scheduleAfter(latency, [this, operation, reply] {
            reply({ operation.operation, this->execute(operation.request) });
        });
        return;
    }
    if (mode == Mode::LoseAnswers)
        this->scheduler.scheduleAfter(latency, [this, operation] { this->execute(operation.request); });
    if (mode == Mode::Slow)
        this->scheduler.scheduleAfter(slowLatency, [this, operation] { this->execute(operation.request); });
    this->scheduler.scheduleAfter(timeout, [operation, reply] {
        reply({ operation.operation, PlatformUnavailable { true } });
    });
}

PlatformResult FakePlatform::write(const std::string& key, const std::string& value, std::uint64_t expected)
{
    auto found = this->table.find(key);
    const std::uint64_t current = found == this->table.end() ? 0 : found->second.version;
    if (current != expected) {
        WriteConflict conflict;
        if (found != this->table.end())
            conflict.current = found->second;
        return conflict;
    }
    this->table[key] = TableRecord { key, value, current + 1 };
    return WriteDone { current + 1 };
}

PlatformResult FakePlatform::execute(const PlatformRequest& request)
{
    if (const auto* insert = std::get_if<TableInsert>(&request))
        return this->write(insert->key, insert->value, 0);
    if (const auto* replace = std::get_if<TableReplace>(&request))
        return this->write(replace->key, replace->value, replace->expectedVersion);
    if (const auto* erase = std::get_if<TableErase>(&request)) {
        auto found = this->table.find(erase->key);
        if (found == this->table.end() || found->second.version != erase->expectedVersion)
            return WriteConflict {};
        this->table.erase(found);
        return WriteDone {};
    }
    if (const auto* read = std::get_if<TableRead>(&request)) {
        Rows rows;
        if (auto found = this->table.find(read->key); found != this->table.end())
            rows.rows.push_back(found->second);
        return rows;
    }
    if (const auto* scan = std::get_if<TableScan>(&request)) {
        Rows rows;
        for (const auto& [key, record] : this->table) {
            if (key.starts_with(scan->prefix) && key > scan->after && rows.rows.size() < scan->limit)
                rows.rows.push_back(record);
        }
        return rows;
    }
    if (const auto* object = std::get_if<ObjectWrite>(&request)) {
        this->objects[object->key] = object->value;
        return WriteDone { 1 };
    }
    if (const auto* object = std::get_if<ObjectRead>(&request)) {
        auto found = this->objects.find(object->key);
        if (found == this->objects.end())
            return ObjectMissing {};
        return ObjectFound { found->second };
    }
    InstanceList list;
    for (const auto& [name, leaving] : this->instances)
        list.instances.push_back({ name, leaving });
    return list;
}

}
