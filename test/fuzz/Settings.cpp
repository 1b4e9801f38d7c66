#include "adapters/settings/AgentSettings.h"
#include "adapters/settings/EntrySettings.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace teaselfold;

/** Loads the bytes as settings; what loads must load again as it was after printing. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto entry = loadEntrySettings(text, {});
    if (const auto* settings = std::get_if<EntrySettings>(&entry)) {
        const auto again = loadEntrySettings(printEntrySettings(*settings), {});
        if (!std::holds_alternative<EntrySettings>(again) || std::get<EntrySettings>(again) != *settings)
            std::abort();
    }
    (void)loadAgentSettings(text, {});
    return 0;
}
