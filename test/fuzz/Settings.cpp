#include "adapters/settings/AgentSettings.h"
#include "adapters/settings/EntrySettings.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace teaselfold;

/** Loads the bytes as settings. Valid entry settings must be equal after they are printed and loaded again. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto entry = loadEntrySettings(text, {});
    if (const auto* settings = std::get_if<EntrySettings>(&entry)) {
        const auto reloaded = loadEntrySettings(printEntrySettings(*settings), {});
        if (!std::holds_alternative<EntrySettings>(reloaded) || std::get<EntrySettings>(reloaded) != *settings)
            std::abort();
    }
    (void)loadAgentSettings(text, {});
    return 0;
}
