#pragma once

// Marked as a system header to exempt the generated code from the linter: it does not follow the project's style.
#pragma GCC system_header

#include "Link_generated.h"
