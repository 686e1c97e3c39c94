/// Range checks of enumerations and numbers, which the FlatBuffers verifier does not do.
#pragma once

#include "wire/generated/frames_generated.h"

namespace mustardpond {

/// Throws BadFrame, naming the field, for a value outside its valid range.
void checkFrame(const wire::FrameT &frame);

} // namespace mustardpond
