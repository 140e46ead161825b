// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <Tests/Platform/NodeUnderTest.h>

namespace Spurtide::Tests {

/// A node with a plain upstream and a pair of engines in its own data centre, "dc", and as many in "there".
struct TwoDataCentres : NodeUnderTest {
    explicit TwoDataCentres(std::function<void(NodeSettings&)> const& change = {})
        : NodeUnderTest(change)
    {
        for (auto* upstream : { &this->plain_there, &this->prefill_there, &this->decode_there })
            upstream->data_centre = "there";
    }

    void list_all()
    {
        this->list(this->plain_here, "plain");
        this->list(this->plain_there, "plain");
        for (auto const* engine : { &this->prefill_here, &this->decode_here, &this->prefill_there, &this->decode_there })
            this->list(*engine, "engines");
    }

    std::size_t sent_there() const { return this->plain_there.requests.size() + this->prefill_there.requests.size() + this->decode_there.requests.size(); }
    std::size_t sent_here() const { return this->plain_here.requests.size() + this->prefill_here.requests.size() + this->decode_here.requests.size(); }

    UpstreamStandIn plain_here { this->loop, "i-1" };
    UpstreamStandIn plain_there { this->loop, "i-2" };
    UpstreamStandIn prefill_here { this->loop, "i-3", "prefill" };
    UpstreamStandIn decode_here { this->loop, "i-4", "decode" };
    UpstreamStandIn prefill_there { this->loop, "i-5", "prefill" };
    UpstreamStandIn decode_there { this->loop, "i-6", "decode" };
};

}
