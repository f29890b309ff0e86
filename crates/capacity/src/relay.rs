//! A bare relay: each connection of a client is joined to one connection to one endpoint, and bytes
//! are passed on unread. It is the least that any sidecar can cost on this machine and runtime.

use crate::error::Result;
use crate::standin::{run_local, system};
use std::net::SocketAddr;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

/// Relays until the process ends.
pub fn run(listen: SocketAddr, to: SocketAddr) -> Result<()> {
    run_local(async move {
        let listener = TcpListener::bind(listen).await.map_err(system("the relay's listener"))?;
        loop {
            let (client, _) = listener.accept().await.map_err(system("a client of the relay"))?;
            tokio::task::spawn_local(join(client, to));
        }
    })?
}

async fn join(mut client: TcpStream, to: SocketAddr) {
    // A connection that cannot be had ends the client's.
    let Ok(mut endpoint) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), endpoint.set_nodelay(true));
    let _ = copy_bidirectional(&mut client, &mut endpoint).await;
}
