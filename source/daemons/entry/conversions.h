// Conversions between the decision cores' types and those of the Connect interface.
#pragma once

#include "config/finding.h"
#include "core/entryoutbox.h"
#include "net/connectserver.h"

#include <bluebellquay/v1/dispatcher.pb.h>

namespace Bluebellquay {

ConnectError toConnectError(const CallError &error);

// The result must not be that of a drain.
ConnectResult<bluebellquay::v1::SubmissionResponse> toResponse(CallResult result);

void setFinding(const Finding &finding, bluebellquay::v1::Finding &target);

} // namespace Bluebellquay
