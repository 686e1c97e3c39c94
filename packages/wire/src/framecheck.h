/// What the verifier of FlatBuffers does not check: enumerations and numbers within their ranges.
#pragma once

#include "wire/generated/frames_generated.h"

namespace mustardpond {

/// Throws BadFrame, naming the field, for a value that no daemon sends.
void checkFrame(const wire::FrameT &frame);

} // namespace mustardpond
