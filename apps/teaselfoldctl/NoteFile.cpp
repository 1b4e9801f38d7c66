#include "NoteFile.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace teaselfold::Ctl {

namespace {

    std::optional<std::string> readFile(const std::string& name)
    {
        if (name == "-")
            return std::string(std::istreambuf_iterator<char>(std::cin), {});
        std::ifstream file(name);
        if (!file)
            return std::nullopt;
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    void overrideField(YAML::Node& note, const char* key, const std::string& value)
    {
        if (!value.empty())
            note[key] = value;
    }

}

std::optional<NoteFile> readNoteFile(const Options& options)
{
    std::optional<std::string> text = readFile(options.arguments[0]);
    if (!text)
        return std::nullopt;
    NoteFile file { std::move(*text) };
    try {
        YAML::Node note = YAML::Load(file.text);
        if (!note.IsMap())
            return file;
        file.base = note["base"].as<std::uint64_t>(0);
        if (options.author.empty() && options.reason.empty())
            return file;
        overrideField(note, "author", options.author);
        overrideField(note, "reason", options.reason);
        file.text = YAML::Dump(note);
    } catch (const YAML::Exception&) {
        // Invalid YAML is sent unchanged: the entry reports the problems in it.
        return file;
    }
    return file;
}

}
