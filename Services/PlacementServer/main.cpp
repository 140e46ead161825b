// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibService/ServerMain.h>
#include <Services/PlacementServer/PlacementServer.h>

int main(int argument_count, char** arguments)
{
    return Spurtide::service_main<Spurtide::PlacementServer>(argument_count, arguments, "PlacementServer", "schedules the cells that fall to this VM");
}
