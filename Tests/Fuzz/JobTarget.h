#pragma once

#include <string_view>

/// Parses a submission and aborts when an accepted one breaks a stated bound.
void checkJobParser(std::string_view Body);
