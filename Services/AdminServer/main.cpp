// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibService/ServerMain.h>
#include <Services/AdminServer/AdminServer.h>

int main(int argument_count, char** arguments)
{
    return Spurtide::service_main<Spurtide::AdminServer>(argument_count, arguments, "AdminServer", "the administration API of one VM");
}
