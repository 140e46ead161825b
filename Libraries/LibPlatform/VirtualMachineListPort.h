// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/PlatformError.h>
#include <string>
#include <vector>

namespace Spurtide {

/// A VM or upstream as the platform's list has it. The list lags, so this is a hint.
struct ListedMachine {
    enum class Life {
        Live,
        Leaving,
    };

    std::string name;
    std::string data_centre;
    Life life = Life::Live;
};

/// The platform's list of live and leaving machines.
class VirtualMachineListPort {
public:
    virtual ~VirtualMachineListPort() = default;
    virtual Result<std::vector<ListedMachine>, PlatformError> list() = 0;
};

}
