#pragma once

// Marked as a system header, so that the linter skips the generated code, which does not follow the project's style.
#pragma GCC system_header

#include "Peers_generated.h"
#include "Readings_generated.h"
