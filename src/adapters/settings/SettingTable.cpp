#include "adapters/settings/SettingTable.h"

namespace teaselfold::Internal {

namespace {

    /** Settings files are small; a larger one is a mistake. */
    constexpr std::size_t maximumTextBytes = 1048576;

    bool parseHash(const std::string& text, std::string& value)
    {
        value = text;
        return isSha256(text);
    }

    struct TokenKey {
        std::string_view key;
        bool (*read)(const std::string& text, AdminToken& token);
        std::string_view expected;
    };

    constexpr std::array tokenKeys {
        TokenKey { "sha256", [](const std::string& text, AdminToken& token) { return parseHash(text, token.sha256); },
            "64 lower-case hexadecimal digits" },
        TokenKey { "role", [](const std::string& text, AdminToken& token) { return parseValue(text, token.role); },
            "operator or viewer" },
        TokenKey { "author", [](const std::string& text, AdminToken& token) { return parseValue(text, token.author); },
            "a name of 1 to 64 letters, digits, '.', '_' and '-'" },
    };

    void readTokenEntry(const std::string& path, const YAML::Node& keyNode, const YAML::Node& node, AdminToken& token,
        std::set<std::string>& given, std::vector<SettingProblem>& problems)
    {
        const std::string key = keyNode.IsScalar() ? keyNode.Scalar() : std::string();
        const std::string keyPath = path + "." + key;
        const auto* row = std::find_if(
            tokenKeys.begin(), tokenKeys.end(), [&](const TokenKey& candidate) { return candidate.key == key; });
        if (row == tokenKeys.end()) {
            problems.push_back({ keyPath, lineOf(keyNode), "a known key" });
            return;
        }
        if (!given.insert(key).second)
            problems.push_back({ keyPath, lineOf(keyNode), "each key once" });
        if (!node.IsScalar() || !row->read(node.Scalar(), token))
            problems.push_back({ keyPath, lineOf(node), std::string(row->expected) });
    }

    AdminToken readToken(const std::string& path, const YAML::Node& node, std::vector<SettingProblem>& problems)
    {
        AdminToken token;
        if (!node.IsMap()) {
            problems.push_back({ path, lineOf(node), "{sha256, role, author}" });
            return token;
        }
        std::set<std::string> given;
        for (const auto& entry : node)
            readTokenEntry(path, entry.first, entry.second, token, given, problems);
        for (const TokenKey& row : tokenKeys) {
            const std::string key(row.key);
            if (!given.contains(key))
                problems.push_back({ path + "." + key, lineOf(node), "this key, which is required" });
        }
        return token;
    }

}

std::uint32_t lineOf(const YAML::Node& node)
{
    const int line = node.Mark().line;
    return line < 0 ? 0 : static_cast<std::uint32_t>(line) + 1;
}

std::vector<AdminToken> readTokens(
    const std::string& path, const YAML::Node& node, std::vector<SettingProblem>& problems)
{
    std::vector<AdminToken> tokens;
    if (!node.IsSequence()) {
        problems.push_back({ path, lineOf(node), expectedValue(tokens) });
        return tokens;
    }
    for (std::size_t index = 0; index < node.size(); ++index)
        tokens.push_back(readToken(path + "[" + std::to_string(index) + "]", node[index], problems));
    return tokens;
}

void writeTokens(YAML::Emitter& out, const std::vector<AdminToken>& tokens)
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

std::variant<YAML::Node, SettingProblem> parseDocument(const std::string& text)
{
    const SettingProblem notMapping { "", 1, "a mapping of keys to values" };
    if (text.size() > maximumTextBytes)
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
