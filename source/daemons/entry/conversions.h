// Converts between the types of the cores and the messages of the Connect interface.
#pragma once

#include "config/finding.h"
#include "core/entryoutbox.h"
#include "net/connectserver.h"

#include <bluebellquay/v1/dispatcher.pb.h>

namespace Bluebellquay {

ConnectError toConnectError(const CallError &error);

// Converts the result of any call except a drain.
ConnectResult<bluebellquay::v1::SubmissionResponse> toResponse(CallResult result);

void setFinding(const Finding &finding, bluebellquay::v1::Finding &target);

} // namespace Bluebellquay
