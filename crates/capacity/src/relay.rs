//! A bare relay: each client connection gets one connection to the endpoint, and bytes are copied without
//! being parsed. It is the lower bound for the cost of any sidecar on this machine and runtime.

use crate::error::Result;
use crate::stand_ins::{run_local, system_error};
use std::net::SocketAddr;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

/// Relays connections until the process ends.
pub fn run(listen: SocketAddr, to: SocketAddr) -> Result<()> {
    run_local(async move {
        let listener = TcpListener::bind(listen).await.map_err(system_error("the relay's listener"))?;
        loop {
            let (client, _) = listener.accept().await.map_err(system_error("a client of the relay"))?;
            tokio::task::spawn_local(relay_connection(client, to));
        }
    })?
}

async fn relay_connection(mut client: TcpStream, to: SocketAddr) {
    // If the endpoint cannot be reached, the client's connection is closed.
    let Ok(mut endpoint) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), endpoint.set_nodelay(true));
    let _ = copy_bidirectional(&mut client, &mut endpoint).await;
}
