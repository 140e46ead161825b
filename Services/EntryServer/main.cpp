// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibService/ServerMain.h>
#include <Services/EntryServer/EntryServer.h>

int main(int argument_count, char** arguments)
{
    return Spurtide::service_main<Spurtide::EntryServer>(argument_count, arguments, "EntryServer", "takes callers' requests and carries them through their upstreams");
}
