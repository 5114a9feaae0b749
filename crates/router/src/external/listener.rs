//! Accepts connections from proxies, for both fronts.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use async_io::{Async, Timer};

use crate::state::RouterState;

/// Accepts connections for as long as the router runs, and spawns the future that `serve` returns for each.
pub async fn accept_connections<F>(
    router: Rc<RouterState>,
    listener: Async<TcpListener>,
    serve: impl Fn(Rc<RouterState>, Async<TcpStream>) -> F,
) where
    F: Future<Output = io::Result<()>> + 'static,
{
    // Each open connection holds a clone; the strong count minus one is the number of open connections.
    let open_connections = Rc::new(());
    loop {
        // Connections over the limit wait in the listener's backlog.
        if Rc::strong_count(&open_connections) > router.limits.proxy.max_connections {
            Timer::after(router.limits.poll_interval).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                let guard = Rc::clone(&open_connections);
                let served = serve(Rc::clone(&router), stream);
                let task = async move {
                    if let Err(error) = served.await {
                        tracing::debug!(%error, "connection of an external proxy ended with an error");
                    }
                    drop(guard);
                };
                router.executor.spawn(task).detach();
            }
            Err(error) => {
                if let Some(times) = router.overload_log.record() {
                    tracing::warn!(
                        %error,
                        times,
                        "can't accept a connection from an external proxy; accepting is retried after a pause"
                    );
                }
                router.endpoints.sweep_idle();
                Timer::after(router.limits.poll_interval).await;
            }
        }
    }
}
