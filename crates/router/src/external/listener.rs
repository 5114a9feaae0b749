//! Accepts connections of proxies, for both fronts.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use async_io::{Async, Timer};

use crate::router::Router;

/// Accepts connections for as long as the router runs, and spawns `serve` for each of them.
pub async fn accept_connections<F>(
    router: Rc<Router>,
    listener: Async<TcpListener>,
    serve: impl Fn(Rc<Router>, Async<TcpStream>) -> F,
) where
    F: Future<Output = io::Result<()>> + 'static,
{
    // Each open connection holds a clone.
    let open_connections = Rc::new(());
    loop {
        // Connections over the limit wait in the listener's backlog.
        if Rc::strong_count(&open_connections) > router.limits.proxies {
            Timer::after(router.limits.look_again).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                let guard = Rc::clone(&open_connections);
                let served = serve(Rc::clone(&router), stream);
                let task = async move {
                    if let Err(error) = served.await {
                        tracing::debug!(%error, "connection of an external proxy closed");
                    }
                    drop(guard);
                };
                router.executor.spawn(task).detach();
            }
            Err(error) => {
                if let Some(times) = router.no_room.told() {
                    tracing::warn!(%error, times, "can't accept a connection of an external proxy");
                }
                router.caches.sweep();
                Timer::after(router.limits.look_again).await;
            }
        }
    }
}
