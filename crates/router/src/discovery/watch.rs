//! Follows the change stream. Waits on the connections that it has, and begins others beside them, as the
//! schedule decides.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use tindoor_discovery::{Attempt, ConnectionId, ConnectionSchedule, Progress, WatchError};

use super::apply::apply_event;
use super::connection::{ConnectionEnd, ConnectionEvent, ConnectionTask};
use super::metrics::ConnectionRecord;
use crate::log_throttle::LogThrottle;
use crate::state::RouterState;

/// The number of events that wait for the watch before connections stop reading.
const EVENT_QUEUE_LENGTH: usize = 1;

/// Follows the change stream from the current position; never returns. May be dropped at any time and
/// replaced by another watch.
pub async fn watch(state: Rc<RouterState>, address: SocketAddr) -> Infallible {
    let mut watch = Watch::new(state, address);
    loop {
        match watch.next_event().await {
            WatchInput::AttemptDue => watch.begin_connection(),
            WatchInput::Connection(id, event) => watch.handle(id, event),
        }
    }
}

/// What a watch reacts to.
enum WatchInput {
    /// It is time to begin another connection.
    AttemptDue,
    /// Something happened on a connection.
    Connection(ConnectionId, ConnectionEvent),
}

/// A connection that is being established or open. Closed when it is dropped.
struct OpenConnection {
    id: ConnectionId,
    record: ConnectionRecord,
    _task: Task<()>,
}

/// The connections to the change stream at one address.
struct Watch {
    state: Rc<RouterState>,
    address: SocketAddr,
    schedule: ConnectionSchedule,
    connections: Vec<OpenConnection>,
    sender: Sender<(ConnectionId, ConnectionEvent)>,
    receiver: Receiver<(ConnectionId, ConnectionEvent)>,
    disconnect_log: LogThrottle,
    silence_log: LogThrottle,
    late_answer_log: LogThrottle,
}

impl Watch {
    fn new(state: Rc<RouterState>, address: SocketAddr) -> Self {
        let (sender, receiver) = async_channel::bounded(EVENT_QUEUE_LENGTH);
        let schedule = ConnectionSchedule::new(state.limits.watch.schedule, Instant::now());
        Self {
            state,
            address,
            schedule,
            connections: Vec::new(),
            sender,
            receiver,
            disconnect_log: LogThrottle::default(),
            silence_log: LogThrottle::default(),
            late_answer_log: LogThrottle::default(),
        }
    }

    /// Waits until a connection is due or something happens on one. Bytes that keep arriving don't hold up a
    /// connection that is due.
    async fn next_event(&self) -> WatchInput {
        let due = self.schedule.next_attempt();
        if Instant::now() >= due {
            return WatchInput::AttemptDue;
        }
        let event = async {
            let (id, event) = self.receiver.recv().await.expect("the watch holds a sender itself");
            WatchInput::Connection(id, event)
        };
        let timer = async {
            Timer::at(due).await;
            WatchInput::AttemptDue
        };
        future::or(event, timer).await
    }

    /// Begins a connection, beside those that still wait.
    fn begin_connection(&mut self) {
        self.log_silence();
        let Attempt { id, gives_way } = self.schedule.begin(Instant::now(), fastrand::f64());
        if let Some(gives_way) = gives_way {
            self.close(gives_way, &ConnectionEnd::GaveWay);
        }
        let task = ConnectionTask {
            id,
            state: Rc::clone(&self.state),
            address: self.address,
            events: self.sender.clone(),
        };
        let record = self.state.watch_metrics.record_begun();
        self.connections.push(OpenConnection { id, record, _task: self.state.executor.spawn(task.run()) });
    }

    /// Handles an event. Events of a connection that was closed in the meantime are discarded.
    fn handle(&mut self, id: ConnectionId, event: ConnectionEvent) {
        if !self.schedule.is_open(id) {
            return;
        }
        match event {
            ConnectionEvent::Subscribed => {
                self.record(id).record_subscribed();
                self.schedule.subscribed(id, Instant::now());
            }
            ConnectionEvent::Received(lines) if lines.is_empty() => {
                self.schedule.received_part(id, Instant::now());
            }
            ConnectionEvent::Received(lines) => {
                if let Err(error) = lines.iter().try_for_each(|line| self.accept_line(id, line)) {
                    self.ended(id, &error.into());
                }
            }
            ConnectionEvent::Ended(end) => self.ended(id, &end),
        }
    }

    /// Applies one line and closes all other connections. An error is a reason to close this connection.
    fn accept_line(&mut self, id: ConnectionId, line: &[u8]) -> Result<(), WatchError> {
        let state = Rc::clone(&self.state);
        let record = self.record(id);
        if record.lines == 0 {
            state.watch_position.borrow_mut().reconnected();
        }
        state.watch_metrics.record_line(record);
        apply_line(&state, line)?;
        let attempts = self.schedule.attempts();
        if self.record(id).lines == 1 && attempts > 1 {
            self.log_late_answer(id, attempts);
        }
        for superseded in self.schedule.received_line(id, Instant::now()) {
            self.close(superseded, &ConnectionEnd::Superseded);
        }
        Ok(())
    }

    /// Handles the end of a connection that this side did not decide on.
    fn ended(&mut self, id: ConnectionId, end: &ConnectionEnd) {
        if let Some(times) = self.disconnect_log.record() {
            let stage = self.record(id).stage();
            let sequence = self.state.watch_position.borrow().sequence;
            let known_age_ms = self.state.watch_metrics.known_age_ms();
            tracing::warn!(
                error = %end,
                %stage,
                sequence,
                known_age_ms,
                times,
                "discovery watch disconnected; reconnecting"
            );
        }
        self.schedule.ended(id, Instant::now());
        self.close(id, end);
    }

    /// Logs that another connection begins because the ones there are have been silent.
    fn log_silence(&self) {
        let Some(oldest) = self.connections.first() else { return };
        let Some(times) = self.silence_log.record() else { return };
        tracing::warn!(
            stage = %oldest.record.stage(),
            open_ms = oldest.record.open_ms(),
            connections = self.connections.len(),
            attempts = self.schedule.attempts(),
            sequence = self.state.watch_position.borrow().sequence,
            known_age_ms = self.state.watch_metrics.known_age_ms(),
            times,
            "change stream is silent; trying another connection beside"
        );
    }

    /// Logs the first line of a connection, after more than one was tried.
    fn log_late_answer(&mut self, id: ConnectionId, attempts: u32) {
        let Some(times) = self.late_answer_log.record() else { return };
        let record = *self.record(id);
        tracing::info!(
            connection = record.number,
            first_line_ms = record.first_line_ms(),
            attempts,
            times,
            "change stream has answered late"
        );
    }

    fn close(&mut self, id: ConnectionId, reason: &ConnectionEnd) {
        let Some(index) = self.connections.iter().position(|connection| connection.id == id) else { return };
        let connection = self.connections.remove(index);
        self.state.watch_metrics.record_ended(&connection.record, reason);
    }

    fn record(&mut self, id: ConnectionId) -> &mut ConnectionRecord {
        let connection = self.connections.iter_mut().find(|connection| connection.id == id);
        &mut connection.expect("a connection in the schedule is open").record
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        for connection in &self.connections {
            self.state.watch_metrics.record_ended(&connection.record, &ConnectionEnd::WatchEnded);
        }
    }
}

/// Applies one line of the change stream and advances the position. An error closes the connection.
fn apply_line(state: &RouterState, line: &[u8]) -> Result<(), WatchError> {
    let progress = state.watch_position.borrow_mut().accept_line(line)?;
    match progress {
        Progress::UpToDate => {}
        Progress::Event(event) => apply_event(state, event),
        Progress::Skipped(error) => {
            tracing::warn!(%error, "line of the change stream can't be parsed; skipped");
        }
    }
    Ok(())
}
