// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/Signal.h>
#include <LibDecision/StreamMigrationPolicy.h>
#include <LibRouter/PlacementClient.h>
#include <LibRouter/RouterState.h>
#include <LibRouter/UpstreamLink.h>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// What the moves of all streams of a VM share.
struct StreamMoves {
    explicit StreamMoves(StreamMigrationPolicy policy)
        : policy(policy)
    {
    }

    StreamMigrationPolicy policy;
    /// Moves in progress.
    std::size_t running = 0;
};

/// A run that its engine has stopped for a move. It is on no engine until the request is sent with the handle.
struct StoppedRun {
    UpstreamRecord source;
    UpstreamRecord target;
    std::string handle;
    enum class Copy {
        AtTarget,
        /// Only the source has the memory.
        AtSourceOnly,
    } copy
        = Copy::AtTarget;
};

/// How the handler that relays a stream continued a stopped run.
enum class MoveOutcome {
    Moved,
    /// The run continues at the engine that stopped it.
    Returned,
    /// Neither engine continues it.
    Lost,
};

/// Why a call that transfers a run brought no result.
struct TransferCallError {
    /// Set if the connection failed before the response was complete.
    std::optional<HttpError> connection_error;
    /// The status of a response that could not be read as a result; 0 if there was none.
    int status = 0;

    /// For logs.
    std::string reason() const;
};

/// Watches one stream that is relayed, and moves its run to another engine when the policy says so: obtains a target from the
/// keeper, has the memory copied while the run goes on, and then has the run stopped and the rest copied. The handler relays the
/// source's stream to its end, sends the request to the target, and reports the outcome. Whatever fails before the run is stopped
/// leaves the stream where it is.
class StreamMigrator : public std::enable_shared_from_this<StreamMigrator> {
public:
    /// The handler. The functions may be called until the migrator is destroyed.
    struct Hooks {
        /// What is known of the stream; empty while it cannot be moved. The migrator adds what it knows itself.
        std::function<std::optional<RunningStream>()> stream;
        /// The request for an engine that can take over the stream.
        std::function<PlacementAsk()> ask;
        /// Why the engine cannot take over the stream; empty if it can.
        std::function<std::optional<std::string_view>(UpstreamRecord const&)> find_obstacle;
        std::function<asio::awaitable<bool>(std::string engine)> take_turn;
        /// Charges the send to the target to the retry budget; returns false if the budget does not cover it.
        std::function<bool()> pay;
        std::function<UpstreamLink::Options()> link_options;
    };

    StreamMigrator(RouterState& state, std::string request, Hooks hooks, int earlier_moves);

    /// The stream's events come from this engine from now on.
    void follow(UpstreamRecord engine, std::shared_ptr<HttpConnection> connection);
    /// Begins to watch the stream. Call once, after the first event.
    void start();
    /// Call after each event.
    void note_event();

    /// Why the source's stream has ended.
    struct SourceEnd {
        enum class Reason {
            /// Not because of a move.
            Other,
            Stopped,
            /// The source was asked to stop, and it is not known whether it did.
            Unknown,
        } reason
            = Reason::Other;
        /// Set if the source has stopped.
        std::optional<StoppedRun> run {};
    };
    /// Whether the source was asked to stop the run.
    bool has_asked_to_stop() const { return this->stop_request != StopRequest::None; }
    /// Call when the source's stream has ended without an end marker. Waits for the answer of the call that asks to stop the run.
    asio::awaitable<SourceEnd> await_source_end();
    /// Call after a stopped run was continued or lost.
    void complete(MoveOutcome outcome, std::string_view reason);

    /// Call when the stream is no longer relayed. Frees the copies of a move in progress; one that is still being made is freed when
    /// the engine answers.
    asio::awaitable<void> end();
    /// Moves begun so far, including those of earlier migrators of the request.
    int move_count() const { return this->moves; }

private:
    enum class StopRequest {
        None,
        Sent,
        /// Answered: the source runs on, or had already ended the run.
        Declined,
        Stopped,
        Unknown,
    };

    struct Move {
        MigrationDecision decision;
        MonotonicTime begun;
        MonotonicTime deadline;
        UpstreamRecord source;
        UpstreamRecord target {};
        /// Whether a turn at the target was taken for the send.
        bool has_turn = false;
        /// Whether the source was asked for a copy.
        bool has_begun = false;
        std::set<std::string> handles {};
        std::optional<StoppedRun> stopped {};
    };

    static asio::awaitable<void> watch(std::shared_ptr<StreamMigrator> self);
    void consider();
    asio::awaitable<void> carry_out();
    /// The steps of a move return why it ends; empty if it goes on.
    asio::awaitable<std::string> find_target();
    asio::awaitable<std::string> copy();
    asio::awaitable<std::string> stop_source();
    asio::awaitable<std::string> check_target();
    asio::awaitable<Result<RunTransferResult, TransferCallError>> call_source(RunTransfer::Source source, Duration timeout);
    void free_handles();
    void end_grant(MoveEnd end);
    void give_up(std::string_view reason);
    void log_move(std::string_view event, std::string_view reason) const;
    void count_move(std::string_view outcome) const;

    RouterState& state;
    std::string request;
    Hooks hooks;
    std::shared_ptr<StreamMoves> shared;
    int moves;
    UpstreamRecord engine;
    std::shared_ptr<HttpConnection> connection;
    std::optional<MonotonicTime> leaving_since;
    std::optional<MonotonicTime> last_attempt;
    int failed_attempts = 0;
    std::vector<std::string> refused_targets;
    std::optional<MigrationDecision> decision;
    std::optional<Move> move;
    StopRequest stop_request = StopRequest::None;
    bool holds_grant = false;
    bool is_over = false;
    std::shared_ptr<PlacementClient::PendingAsk> pending_ask;
    /// Wakes the watching coroutine.
    Signal wake;
    /// Wakes the handler.
    Signal changed;
};

}
