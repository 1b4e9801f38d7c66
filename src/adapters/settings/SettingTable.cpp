#include "adapters/settings/SettingTable.h"

namespace teaselfold::Internal {

namespace {

    /** Settings files are small, so a larger text is rejected as a mistake. */
    constexpr std::size_t maxTextBytes = 1048576;

    bool parseHash(const std::string& text, std::string& value)
    {
        value = text;
        return isSha256(text);
    }

    /** A key of a list item, with the function that parses its value. Every key is required. */
    template <typename Item> struct ItemKey {
        std::string_view key;
        bool (*parse)(const std::string& text, Item& item);
        std::string_view expected;
    };

    constexpr std::string_view expectedName = "a name of 1 to 64 letters, digits, '.', '_' and '-'";

    constexpr std::array adminTokenKeys {
        ItemKey<AdminToken> { "sha256",
            [](const std::string& text, AdminToken& token) { return parseHash(text, token.sha256); },
            "64 lower-case hexadecimal digits" },
        ItemKey<AdminToken> { "role",
            [](const std::string& text, AdminToken& token) { return parseValue(text, token.role); },
            "operator or viewer" },
        ItemKey<AdminToken> { "author",
            [](const std::string& text, AdminToken& token) { return parseValue(text, token.author); }, expectedName },
    };

    constexpr std::array seedAgentKeys {
        ItemKey<SeedAgent> { "endpoint",
            [](const std::string& text, SeedAgent& seed) { return parseValue(text, seed.endpoint); }, expectedName },
        ItemKey<SeedAgent> { "agent",
            [](const std::string& text, SeedAgent& seed) { return parseValue(text, seed.agent); },
            "an IP number and port such as 127.0.0.1:7001 or [::1]:7001" },
    };

    /** Reads a list of mappings, driven by a table of the keys of an item. */
    template <typename Item, std::size_t Count> class ListReader {
    public:
        ListReader(const std::array<ItemKey<Item>, Count>& keys, std::vector<SettingProblem>& problems)
            : keys(keys)
            , problems(problems)
        {
        }

        void read(const std::string& path, const YAML::Node& node, std::vector<Item>& items) const
        {
            items.clear();
            if (!node.IsSequence()) {
                this->problems.push_back({ path, lineNumber(node), expectedValue(items) });
                return;
            }
            for (std::size_t index = 0; index < node.size(); ++index)
                items.push_back(this->readItem(path + "[" + std::to_string(index) + "]", node[index]));
        }

    private:
        Item readItem(const std::string& path, const YAML::Node& node) const
        {
            Item item;
            if (!node.IsMap()) {
                this->problems.push_back({ path, lineNumber(node), this->describeKeys() });
                return item;
            }
            std::set<std::string> presentKeys;
            for (const auto& pair : node)
                this->readKey(path, pair.first, pair.second, item, presentKeys);
            for (const auto& row : this->keys) {
                const std::string key(row.key);
                if (!presentKeys.contains(key))
                    this->problems.push_back({ path + "." + key, lineNumber(node), "this key, which is required" });
            }
            return item;
        }

        void readKey(const std::string& path, const YAML::Node& keyNode, const YAML::Node& node, Item& item,
            std::set<std::string>& presentKeys) const
        {
            const std::string key = keyNode.IsScalar() ? keyNode.Scalar() : std::string();
            const std::string keyPath = path + "." + key;
            const auto* row = std::find_if(
                this->keys.begin(), this->keys.end(), [&](const auto& candidate) { return candidate.key == key; });
            if (row == this->keys.end()) {
                this->problems.push_back({ keyPath, lineNumber(keyNode), "a known key" });
                return;
            }
            if (!presentKeys.insert(key).second)
                this->problems.push_back({ keyPath, lineNumber(keyNode), "each key once" });
            if (!node.IsScalar() || !row->parse(node.Scalar(), item))
                this->problems.push_back({ keyPath, lineNumber(node), std::string(row->expected) });
        }

        std::string describeKeys() const
        {
            std::string text;
            for (const auto& row : this->keys)
                text += (text.empty() ? "{" : ", ") + std::string(row.key);
            return text + "}";
        }

        const std::array<ItemKey<Item>, Count>& keys;
        std::vector<SettingProblem>& problems;
    };

}

std::uint32_t lineNumber(const YAML::Node& node)
{
    const int line = node.Mark().line;
    return line < 0 ? 0 : static_cast<std::uint32_t>(line) + 1;
}

void readList(const std::string& path, const YAML::Node& node, std::vector<AdminToken>& tokens,
    std::vector<SettingProblem>& problems)
{
    ListReader(adminTokenKeys, problems).read(path, node, tokens);
}

void readList(const std::string& path, const YAML::Node& node, std::vector<SeedAgent>& agents,
    std::vector<SettingProblem>& problems)
{
    ListReader(seedAgentKeys, problems).read(path, node, agents);
}

void writeList(YAML::Emitter& out, const std::vector<AdminToken>& tokens)
{
    out << YAML::BeginSeq;
    for (const AdminToken& token : tokens) {
        out << YAML::Flow << YAML::BeginMap;
        out << YAML::Key << "sha256" << YAML::Value << YAML::DoubleQuoted << token.sha256;
        out << YAML::Key << "role" << YAML::Value << printValue(token.role);
        out << YAML::Key << "author" << YAML::Value << YAML::DoubleQuoted << token.author;
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

void writeList(YAML::Emitter& out, const std::vector<SeedAgent>& agents)
{
    out << YAML::BeginSeq;
    for (const SeedAgent& seed : agents) {
        out << YAML::Flow << YAML::BeginMap;
        out << YAML::Key << "endpoint" << YAML::Value << YAML::DoubleQuoted << seed.endpoint.get();
        out << YAML::Key << "agent" << YAML::Value << YAML::DoubleQuoted << printValue(seed.agent);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

std::variant<YAML::Node, SettingProblem> parseDocument(const std::string& text)
{
    const SettingProblem notMapping { "", 1, "a mapping of keys to values" };
    if (text.size() > maxTextBytes)
        return notMapping;
    try {
        YAML::Node document = YAML::Load(text);
        if (document.IsNull())
            return YAML::Node(YAML::NodeType::Map);
        if (!document.IsMap())
            return notMapping;
        return document;
    } catch (const YAML::Exception& error) {
        const int line = error.mark.line;
        return SettingProblem { "", line < 0 ? 0 : static_cast<std::uint32_t>(line) + 1, "YAML: " + error.msg };
    }
}

}
