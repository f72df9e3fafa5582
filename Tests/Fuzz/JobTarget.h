#pragma once

#include <string_view>

/// Parses a submission and aborts when an accepted one exceeds a stated limit.
void checkJobParser(std::string_view Body);
