//! A way in the network: up, refused or silent.

use super::metered::{ByteCount, Metered};
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::http::Wire;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// What a way in the network does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Connections come up.
    Up,
    /// Connections are refused, and those that are open are reset.
    Down,
    /// Connections hang, and those that are open are silent; they are reset when that ends.
    Cut,
}

/// How long to wait before an address is bound once more that is not free yet (ms).
const BIND_AGAIN: Duration = Duration::from_millis(20);

/// A connection that was accepted.
pub type Accepted<F> = Wire<Metered<<F as Fabric>::Stream>>;

/// What listens at an address.
pub trait Service<F: Fabric>: Clone + 'static {
    /// Serves a connection until it ends; `bytes` counts what passes on it.
    fn serve(&self, wire: &mut Accepted<F>, bytes: Rc<ByteCount>) -> impl Future<Output = ()>;
}

/// Listens at an address as its link allows.
pub async fn listen<F: Fabric>(
    fabric: F,
    address: SocketAddr,
    mut link: watch::Receiver<Link>,
    service: impl Service<F>,
) {
    loop {
        let now = *link.borrow_and_update();
        let goes_on = match now {
            Link::Up => accept(&fabric, address, &mut link, &service).await,
            Link::Down => link.changed().await.is_ok(),
            Link::Cut => {
                let _mute = fabric.block_connects(address).await;
                link.changed().await.is_ok()
            }
        };
        if !goes_on {
            return;
        }
    }
}

/// Accepts until the link changes; false where it never will again.
async fn accept<F: Fabric>(
    fabric: &F,
    address: SocketAddr,
    link: &mut watch::Receiver<Link>,
    service: &impl Service<F>,
) -> bool {
    let Ok(listener) = fabric.bind(address).await else {
        tokio::time::sleep(BIND_AGAIN).await;
        return true;
    };
    loop {
        tokio::select! {
            biased;
            changed = link.changed() => return changed.is_ok(),
            stream = fabric.accept(&listener) => {
                let Ok(stream) = stream else { continue };
                spawn_local(connection(fabric.clone(), stream, link.clone(), service.clone()));
            }
        }
    }
}

/// Serves a connection until it ends, or its link is no longer up.
async fn connection<F: Fabric>(
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
