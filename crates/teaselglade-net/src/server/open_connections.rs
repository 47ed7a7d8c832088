//! Open connections of a server, which end after their last answers.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulConnection;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::connection_activity::ConnectionActivity;
use super::counted_service::CountedService;
use super::drain::{DRAIN_POLL, LAST_REQUEST_GRACE};
use super::lingering_stream::LingeringStream;

/// Longest time to wait for the rest of a request's head after the shutdown has started.
const LAST_HEAD_TIME: Duration = Duration::from_secs(1);

/// Open connections of a server.
///
/// On shutdown each is closed as soon as it is idle and nothing unread waits in its socket.
#[derive(Debug)]
pub struct OpenConnections {
    is_closing: watch::Sender<bool>,
}

impl Default for OpenConnections {
    fn default() -> Self {
        let (is_closing, _) = watch::channel(false);
        Self { is_closing }
    }
}

impl OpenConnections {
    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.is_closing.receiver_count()
    }

    /// Returns a future that serves a connection until its end, or until the shutdown closes it.
    ///
    /// `serve` starts the HTTP library on the connection's stream and service.
    pub fn serve<S, C, F>(
        &self,
        socket: TcpStream,
        service: S,
        serve: F,
    ) -> impl Future<Output = ()> + use<S, C, F>
    where
        C: GracefulConnection,
        F: FnOnce(TokioIo<LingeringStream>, CountedService<S>) -> C,
    {
        let activity = Arc::new(ConnectionActivity::default());
        let is_closing = self.is_closing.subscribe();
        let io = TokioIo::new(LingeringStream::new(socket, Arc::clone(&activity)));
        let service = CountedService::new(service, Arc::clone(&activity));
        let connection = serve(io, service);
        serve_until_closed(connection, activity, is_closing)
    }

    /// Closes all connections after their last answers and waits for their end.
    ///
    /// First waits [`LAST_REQUEST_GRACE`], or until no connection is open, for requests that are
    /// on their way.
    pub async fn shut_down(&self) {
        let deadline = Instant::now() + LAST_REQUEST_GRACE;
        while self.count() > 0 && Instant::now() < deadline {
            sleep(DRAIN_POLL).await;
        }
        self.is_closing.send_replace(true);
        self.is_closing.closed().await;
    }
}

async fn serve_until_closed<C: GracefulConnection>(
    connection: C,
    activity: Arc<ConnectionActivity>,
    mut is_closing: watch::Receiver<bool>,
) {
    let mut connection = pin!(connection);
    // A broken connection affects only the requests of its own caller.
    tokio::select! {
        biased;
        _ended = connection.as_mut() => return,
        _closing = is_closing.wait_for(|is_closing| *is_closing) => {}
    }
    activity.announce_close();
    let mut head_deadline = None;
    loop {
        // The library closes an idle connection without another look at its socket.
        activity.request_check();
        if poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await {
            return;
        }
        let now = Instant::now();
        if activity.is_busy() {
            head_deadline = None;
        } else if now >= *head_deadline.get_or_insert(now + LAST_HEAD_TIME) {
            break;
        }
        if activity.may_close() {
            break;
        }
        tokio::select! {
            biased;
            _ended = connection.as_mut() => return,
            () = activity.request_ended() => {}
            () = sleep(DRAIN_POLL), if !activity.is_busy() => {}
        }
    }
    if activity.is_awaiting_head() {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ended = connection.await;
}
