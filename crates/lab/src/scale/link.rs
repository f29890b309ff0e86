//! Network paths that are up, refuse connections or are silent, and the listeners behind them.

use super::metered::{ByteCount, Metered};
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::http::Wire;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// State of a network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Connections are accepted.
    Up,
    /// Connections are refused; open ones are reset.
    Down,
    /// New connections hang and open ones are silent; they are reset when this state ends.
    Cut,
}

/// Delay before the next try to bind an address that is not free yet.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An accepted connection, with its bytes counted.
pub type Accepted<F> = Wire<Metered<<F as Fabric>::Stream>>;

/// A service that listens at an address.
pub trait Service<F: Fabric>: Clone + 'static {
    /// Serves a connection until it ends; `bytes` counts the bytes in both directions.
    fn serve(&self, wire: &mut Accepted<F>, bytes: Rc<ByteCount>) -> impl Future<Output = ()>;
}

/// Listens at an address while its link is up, and follows the link's changes until its sender is dropped.
pub async fn listen<F: Fabric>(
    fabric: F,
    address: SocketAddr,
    mut link: watch::Receiver<Link>,
    service: impl Service<F>,
) {
    loop {
        let now = *link.borrow_and_update();
        let link_open = match now {
            Link::Up => accept_until_change(&fabric, address, &mut link, &service).await,
            Link::Down => link.changed().await.is_ok(),
            Link::Cut => {
                let _connect_block = fabric.block_connects(address).await;
                link.changed().await.is_ok()
            }
        };
        if !link_open {
            return;
        }
    }
}

/// Accepts connections until the link changes. Returns false if the link's sender was dropped.
async fn accept_until_change<F: Fabric>(
    fabric: &F,
    address: SocketAddr,
    link: &mut watch::Receiver<Link>,
    service: &impl Service<F>,
) -> bool {
    let Ok(listener) = fabric.bind(address).await else {
        tokio::time::sleep(BIND_RETRY_DELAY).await;
        return true;
    };
    loop {
        tokio::select! {
            biased;
            changed = link.changed() => return changed.is_ok(),
            stream = fabric.accept(&listener) => {
                let Ok(stream) = stream else { continue };
                spawn_local(serve_connection(fabric.clone(), stream, link.clone(), service.clone()));
            }
        }
    }
}

/// Serves a connection until it ends or its link is no longer up; in the latter case the connection is reset.
async fn serve_connection<F: Fabric>(
    fabric: F,
    stream: F::Stream,
    mut link: watch::Receiver<Link>,
    service: impl Service<F>,
) {
    let metered = Metered::new(stream);
    let bytes = metered.count();
    let mut wire = Wire::new(metered);
    tokio::select! {
        biased;
        _ = link.changed() => {}
        () = service.serve(&mut wire, bytes) => return,
    }
    while *link.borrow_and_update() == Link::Cut {
        if link.changed().await.is_err() {
            break;
        }
    }
    fabric.reset(wire.stream.inner);
}
