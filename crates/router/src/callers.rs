//! Accepting connections of proxies, the same for both fronts that only choose.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use async_io::{Async, Timer};

use crate::state::RouterState;

/// Accepts for as long as the router runs, and has each connection served until `talk` ends.
pub async fn accept<F>(
    router: Rc<RouterState>,
    listener: Async<TcpListener>,
    talk: impl Fn(Rc<RouterState>, Async<TcpStream>) -> F,
) where
    F: Future<Output = io::Result<()>> + 'static,
{
    let open = Rc::new(());
    loop {
        // What waits costs the others nothing.
        if Rc::strong_count(&open) > router.limits.proxy.max_connections {
            Timer::after(router.limits.poll_interval).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.get_ref().set_nodelay(true);
                let (place, talk) = (Rc::clone(&open), talk(Rc::clone(&router), stream));
                let served = async move {
                    if let Err(what) = talk.await {
                        tracing::debug!(%what, "a proxy's connection ended");
                    }
                    drop(place);
                };
                router.executor.spawn(served).detach();
            }
            Err(error) => {
                if let Some(times) = router.overload_log.record() {
                    tracing::warn!(%error, times, "can't accept a proxy");
                }
                router.endpoints.sweep_idle();
                Timer::after(router.limits.poll_interval).await;
            }
        }
    }
}
