// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogWriter.h>
#include <cerrno>
#include <climits>
#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace Spurtide {

namespace {

/// Whole lines of at most PIPE_BUF bytes, which a pipe takes together or not at all; the start of a longer line.
std::string_view next_piece(std::string_view text)
{
    if (text.size() <= PIPE_BUF)
        return text;
    auto const line_break = text.substr(0, PIPE_BUF).rfind('\n');
    return text.substr(0, line_break == std::string_view::npos ? PIPE_BUF : line_break + 1);
}

}

LogWriter::LogWriter(int descriptor, DropNotice drop_notice)
    : descriptor(descriptor)
    , drop_notice(std::move(drop_notice))
{
    this->choose_mode();
}

LogWriter::~LogWriter()
{
    this->flush();
    if (this->own_descriptor >= 0)
        ::close(this->own_descriptor);
}

// O_NONBLOCK on the descriptor itself would also concern the other processes that have it open. A second open file
// description concerns this process alone; sockets have none, and poll(2) has to do.
void LogWriter::choose_mode()
{
    struct stat status { };
    if (::fstat(this->descriptor, &status) != 0)
        return;
    if (S_ISREG(status.st_mode)) {
        // A second description would have a position of its own and overwrite what others write.
        this->mode = Mode::Direct;
        return;
    }
    if (!S_ISFIFO(status.st_mode) && !S_ISCHR(status.st_mode))
        return;
    auto const path = "/proc/self/fd/" + std::to_string(this->descriptor);
    this->own_descriptor = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
    if (this->own_descriptor < 0)
        return;
    this->descriptor = this->own_descriptor;
    this->mode = Mode::Direct;
}

void LogWriter::write(std::string_view line)
{
    std::scoped_lock const lock(this->mutex);
    this->drain();
    // Lines after a dropped one wait for the notice, so that it stands where the lines are missing.
    if (this->unreported > 0 || this->kept.size() + line.size() + 1 > MAXIMUM_KEPT_BYTES) {
        ++this->dropped;
        ++this->unreported;
        return;
    }
    this->kept.append(line).append(1, '\n');
    this->write_kept();
}

void LogWriter::flush()
{
    std::scoped_lock const lock(this->mutex);
    this->drain();
}

std::uint64_t LogWriter::dropped_lines() const
{
    std::scoped_lock const lock(this->mutex);
    return this->dropped;
}

void LogWriter::drain()
{
    this->write_kept();
    if (this->unreported == 0 || !this->kept.empty())
        return;
    this->kept = this->drop_notice(std::exchange(this->unreported, 0)) + '\n';
    this->write_kept();
}

void LogWriter::write_kept()
{
    std::size_t written = 0;
    while (written < this->kept.size()) {
        if (this->mode == Mode::Polled && !this->is_writable())
            break;
        auto const piece = next_piece(std::string_view(this->kept).substr(written));
        auto const result = ::write(this->descriptor, piece.data(), piece.size());
        if (result < 0 && errno == EINTR)
            continue;
        // Whatever the error, the lines are kept: the disk may be full, or the reader of a named pipe away.
        if (result <= 0)
            break;
        written += static_cast<std::size_t>(result);
    }
    this->kept.erase(0, written);
}

bool LogWriter::is_writable() const
{
    pollfd request { this->descriptor, POLLOUT, 0 };
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

}
