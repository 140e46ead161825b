// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibService/ServerMain.h>
#include <Services/ConfigServer/ConfigServer.h>

int main(int argument_count, char** arguments)
{
    return Spurtide::service_main<Spurtide::ConfigServer>(argument_count, arguments, "ConfigServer", "configuration, membership and claims of one VM");
}
