// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <Services/NodeServer/Node.h>
#include <functional>

namespace Spurtide {

/// The main function of a node: reads the settings, starts the node with the adapters of its deployment, and
/// stops it at SIGTERM. SIGHUP reads the settings again.
int node_main(int argument_count, char** arguments, std::function<NodeAdapters(NodeSettings const&)> make_adapters);

}
