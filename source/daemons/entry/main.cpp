// main() of bluebellquay-entry, the process on each entry VM; see help/bluebellquay-entry.md.
#include "config/daemonsettings.h"
#include "daemons/daemonmain.h"
#include "daemons/entry/entrydaemon.h"

int main(int argc, const char **argv)
{
    return Bluebellquay::daemonMain<Bluebellquay::EntryDaemon, Bluebellquay::EntrySettings>(
        argc, argv, "bluebellquay-entry");
}
