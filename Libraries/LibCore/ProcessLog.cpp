// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <LibCore/LogWriter.h>
#include <LibCore/ProcessLog.h>
#include <glog/logging.h>
#include <memory>
#include <mutex>
#include <string>

namespace Spurtide {

namespace {

/// Hands the messages of glog to the writer.
class WriterSink : public google::LogSink {
public:
    explicit WriterSink(int descriptor)
        : writer(descriptor, [](std::uint64_t count) { return LogLine::format("event=log_lines_dropped count=" + std::to_string(count)); })
    {
        google::AddLogSink(this);
    }
    ~WriterSink() override { google::RemoveLogSink(this); }
    WriterSink(WriterSink const&) = delete;
    WriterSink& operator=(WriterSink const&) = delete;

    using google::LogSink::send;
    void send(google::LogSeverity, char const*, char const*, int, google::LogMessageTime const&, char const* message, std::size_t length) override
    {
        this->writer.write({ message, length });
    }

    LogWriter writer;
};

std::mutex s_mutex;
std::unique_ptr<WriterSink> s_sink;

}

void ProcessLog::start(int descriptor)
{
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    // An empty name means no file.
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    std::scoped_lock const lock(s_mutex);
    s_sink = std::make_unique<WriterSink>(descriptor);
}

void ProcessLog::stop()
{
    std::scoped_lock const lock(s_mutex);
    s_sink.reset();
}

void ProcessLog::flush()
{
    std::scoped_lock const lock(s_mutex);
    if (s_sink)
        s_sink->writer.flush();
}

std::uint64_t ProcessLog::dropped_lines()
{
    std::scoped_lock const lock(s_mutex);
    return s_sink ? s_sink->writer.dropped_lines() : 0;
}

}
