// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <vector>
#include <zmq.hpp>

namespace Spurtide {

/// A ZeroMQ socket watched by the kernel's event loop.
class WatchedSocket {
public:
    using MessageHandler = std::function<void(std::vector<zmq::message_t> frames)>;

    WatchedSocket(asio::io_context& loop, zmq::socket_t socket, MessageHandler on_message)
        : socket(std::move(socket))
        , descriptor(loop, this->socket.get(zmq::sockopt::fd))
        , on_message(std::move(on_message))
        , alive(std::make_shared<bool>(true))
    {
    }

    ~WatchedSocket()
    {
        *this->alive = false;
        // The descriptor belongs to the ZeroMQ socket, which closes it.
        this->descriptor.cancel();
        this->descriptor.release();
    }

    WatchedSocket(WatchedSocket const&) = delete;
    WatchedSocket& operator=(WatchedSocket const&) = delete;

    void watch()
    {
        this->descriptor.async_wait(asio::posix::stream_descriptor::wait_read, [this, alive = this->alive](asio::error_code error) {
            if (error || !*alive)
                return;
            // An exception of a handler must not end the watch.
            this->watch();
            this->drain();
        });
        // The descriptor tells only of changes, so what came before the wait is looked for here.
        this->drain_later();
    }

    void drain_later()
    {
        if ((this->socket.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0)
            return;
        asio::post(this->descriptor.get_executor(), [this, alive = this->alive] {
            if (*alive)
                this->drain();
        });
    }

    bool send(std::vector<zmq::message_t> frames)
    {
        bool sent = true;
        for (std::size_t i = 0; i < frames.size() && sent; ++i) {
            auto const more = i + 1 < frames.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
            try {
                sent = this->socket.send(frames[i], more | zmq::send_flags::dontwait).has_value();
            } catch (zmq::error_t const&) {
                // The peer of a reply is gone.
                sent = false;
            }
        }
        this->drain_later();
        return sent;
    }

    std::string last_endpoint() { return this->socket.get(zmq::sockopt::last_endpoint); }

private:
    void drain()
    {
        auto const alive = this->alive;
        while (*alive) {
            std::vector<zmq::message_t> frames;
            do {
                zmq::message_t frame;
                if (!this->socket.recv(frame, zmq::recv_flags::dontwait))
                    return;
                frames.push_back(std::move(frame));
            } while (frames.back().more());
            this->on_message(std::move(frames));
        }
    }

    zmq::socket_t socket;
    asio::posix::stream_descriptor descriptor;
    MessageHandler on_message;
    std::shared_ptr<bool> alive;
};

}
