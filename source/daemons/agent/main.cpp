// main() of bluebellquay-agent, the process that runs beside each upstream.
#include "config/daemonsettings.h"
#include "daemons/agent/agentdaemon.h"
#include "daemons/daemonmain.h"

int main(int argc, const char **argv)
{
    return Bluebellquay::daemonMain<Bluebellquay::AgentDaemon, Bluebellquay::AgentSettings>(
        argc, argv, "bluebellquay-agent");
}
